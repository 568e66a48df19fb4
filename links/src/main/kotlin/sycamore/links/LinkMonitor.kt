package sycamore.links

import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Checks all links of a client or an acceptor periodically. It is one timer for all, since a timer for each link would
 * wake the process many times a second.
 */
internal class LinkMonitor(
    bounds: LinkBounds,
    private val time: TimeSource,
) {
    private val interval: Duration = minOf(MAX_INTERVAL, bounds.activePingInterval / 2)

    /** Calls [check] periodically until cancelled, with whether the process was paused since the last call. */
    suspend fun run(check: (wasPaused: Boolean) -> Unit) {
        while (true) {
            val before = time.markNow()
            delay(interval)
            check(before.elapsedNow() > interval * 2)
        }
    }

    private companion object {
        /** Longest time between two checks. */
        val MAX_INTERVAL = 1.seconds
    }
}
