package sycamore.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

private val log = KotlinLogging.logger {}

/** The planned stop of a daemon, which SIGTERM and SIGINT ask for. */
object Stop {
    /** How long the calls in progress may take to end. */
    val LIMIT: Duration = 10.minutes

    /**
     * Runs [steps] when the process is asked to end, then ends it: with exit code 0, or 1 if they did not end within
     * [limit] or failed. The limit is asked for when the stop begins.
     */
    fun onRequest(
        limit: () -> Duration = { LIMIT },
        steps: suspend () -> Unit,
    ) {
        val hook = Thread({ Runtime.getRuntime().halt(run(limit(), steps)) }, "stop")
        Runtime.getRuntime().addShutdownHook(hook)
    }

    private fun run(
        limit: Duration,
        steps: suspend () -> Unit,
    ): Int =
        try {
            log.info { "asked to stop" }
            val done = runBlocking { withTimeoutOrNull(limit) { steps() } }
            if (done == null) log.error { "not stopped within $limit; calls are cut off" } else log.info { "stopped" }
            if (done == null) Program.EXIT_FAILED else 0
        } catch (e: Exception) {
            log.error(e) { "stopping failed" }
            Program.EXIT_FAILED
        }
}
