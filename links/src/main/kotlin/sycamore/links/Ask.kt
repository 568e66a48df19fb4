package sycamore.links

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.model.Address
import kotlin.time.Duration

private val log = KotlinLogging.logger {}

/** The first reply to [message] of the daemon at [to]; null when there is none within [limit], which is logged. */
suspend fun Exchange.ask(
    to: Address,
    message: Message,
    limit: Duration,
): Message? =
    try {
        withTimeoutOrNull(limit) { invoke(to, message).firstOrNull() }
    } catch (e: LinkException) {
        log.debug { "$to cannot be asked: ${e.message}" }
        null
    }
