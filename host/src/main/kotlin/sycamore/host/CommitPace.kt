package sycamore.host

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How long a home waits between two writes of its log: so that all homes together stay within their share of the
 * key-value service's writes, and a slow service is not pressed.
 *
 * @param writesPerSecond the share of all homes' logs.
 * @param homes how many homes there are.
 */
internal class CommitPace(
    private val writesPerSecond: Double = WRITES_PER_SECOND,
    private val homes: () -> Int,
) {
    private var latency = Duration.ZERO

    /** Time from the beginning of one write to the next. */
    val interval: Duration
        get() {
            val share = 1.seconds * (homes() / writesPerSecond)
            return maxOf(share, latency, SHORTEST).coerceAtMost(LONGEST)
        }

    /** A write took [duration]. */
    fun wrote(duration: Duration) {
        latency = latency * (1 - WEIGHT_OF_LAST) + duration * WEIGHT_OF_LAST
    }

    companion object {
        /** Writes per second that all logs may take, of the several hundred that the service handles. */
        const val WRITES_PER_SECOND = 150.0

        private const val WEIGHT_OF_LAST = 0.2
        private val SHORTEST = 5.milliseconds
        private val LONGEST = 15.seconds
    }
}
