package sycamore.links

import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Checks all links of a process, in one loop, as a timer of each link would wake the process many times a second. */
internal class LinkWatch(
    bounds: LinkBounds,
    private val time: TimeSource,
) {
    private val tick: Duration = minOf(TICK, bounds.activePing / 2)

    /** Calls [check] again and again until cancelled; it is told whether the process was paused since the last call. */
    suspend fun run(check: (wasPaused: Boolean) -> Unit) {
        while (true) {
            val before = time.markNow()
            delay(tick)
            check(before.elapsedNow() > tick * 2)
        }
    }

    private companion object {
        /** Longest pause between two checks. */
        val TICK = 1.seconds
    }
}
