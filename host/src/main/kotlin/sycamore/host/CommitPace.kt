package sycamore.host

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits the rate at which a home writes its log, so that all homes together stay within their share of the writes to
 * the key-value service, and a slow service is not overloaded.
 *
 * @param writesPerSecond the rate of writes that the logs of all homes share.
 * @param homeCount the present number of homes.
 */
internal class CommitPace(
    private val writesPerSecond: Double = WRITES_PER_SECOND,
    private val homeCount: () -> Int,
) {
    /** The moving average of the duration of a write. */
    private var latency = Duration.ZERO

    /** The time from the start of one write to the start of the next. */
    val interval: Duration
        get() {
            val share = 1.seconds * (homeCount() / writesPerSecond)
            return maxOf(share, latency, MIN_INTERVAL).coerceAtMost(MAX_INTERVAL)
        }

    /** Updates the average with a write that took [duration]. */
    fun recordWrite(duration: Duration) {
        latency = latency * (1 - LAST_WRITE_WEIGHT) + duration * LAST_WRITE_WEIGHT
    }

    companion object {
        /**
         * The rate of writes that all logs together may use, of the several hundred per second that the service
         * handles.
         */
        const val WRITES_PER_SECOND = 150.0

        /** The weight of the last write in the moving average of the duration. */
        private const val LAST_WRITE_WEIGHT = 0.2
        private val MIN_INTERVAL = 5.milliseconds
        private val MAX_INTERVAL = 15.seconds
    }
}
