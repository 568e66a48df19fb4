package sycamore.links

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.model.Address
import kotlin.time.Duration

private val log = KotlinLogging.logger {}

/**
 * Sends [message] to the daemon at [to] and returns the first reply. Returns null if there is none within [timeout], or
 * if the link fails, which is logged at debug level.
 */
suspend fun Exchange.ask(
    to: Address,
    message: Message,
    timeout: Duration,
): Message? =
    try {
        withTimeoutOrNull(timeout) { invoke(to, message).firstOrNull() }
    } catch (e: LinkException) {
        log.debug { "request to $to failed: ${e.message}" }
        null
    }
