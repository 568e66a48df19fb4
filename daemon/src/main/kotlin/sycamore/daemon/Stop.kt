package sycamore.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

private val log = KotlinLogging.logger {}

/** The graceful stop of a daemon on SIGTERM or SIGINT. */
object Stop {
    /** Default time limit for calls in progress to end. */
    val DEFAULT_TIMEOUT: Duration = 10.minutes

    /**
     * Runs [steps] when the process receives a termination signal, then ends the process: with exit code 0, or 1 if the
     * steps failed or did not complete within [timeout], which is evaluated when the stop begins.
     */
    fun onTerminationSignal(
        timeout: () -> Duration = { DEFAULT_TIMEOUT },
        steps: suspend () -> Unit,
    ) {
        val hook = Thread({ Runtime.getRuntime().halt(run(timeout(), steps)) }, "stop")
        Runtime.getRuntime().addShutdownHook(hook)
    }

    private fun run(
        timeout: Duration,
        steps: suspend () -> Unit,
    ): Int =
        try {
            log.info { "stop requested" }
            val done = runBlocking { withTimeoutOrNull(timeout) { steps() } }
            if (done == null) log.error { "stop timed out after $timeout; calls aborted" } else log.info { "stopped" }
            if (done == null) Program.EXIT_FAILED else 0
        } catch (e: Exception) {
            log.error(e) { "stop failed" }
            Program.EXIT_FAILED
        }
}
