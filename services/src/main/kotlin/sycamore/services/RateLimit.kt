package sycamore.services

import kotlinx.coroutines.delay
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * A token bucket.
 *
 * @param perSecond permits a second, on average.
 * @param burst permits that may be taken at once after a pause.
 */
class RateLimit(
    perSecond: Double,
    burst: Int,
    time: TimeSource = TimeSource.Monotonic,
) {
    private val lock = ReentrantLock()
    private val start = time.markNow()
    private val interval = 1.seconds / perSecond
    private val tolerance = interval * (burst - 1)
    private var next = Duration.ZERO

    /** Waits for a permit; false, at once, if that would take longer than [patience]. */
    suspend fun take(patience: Duration): Boolean {
        val wait = reserve(patience) ?: return false
        if (wait > Duration.ZERO) delay(wait)
        return true
    }

    /** Takes a permit if there is one now, and otherwise tells how long it takes until there is one. Zero when taken. */
    fun tryTake(): Duration =
        lock.withLock {
            val now = start.elapsedNow()
            val wait = (next - tolerance - now).coerceAtLeast(Duration.ZERO)
            if (wait == Duration.ZERO) next = maxOf(next, now) + interval
            wait
        }

    /** How long to wait for the permit that is now reserved, or null if there is none within [patience]. */
    private fun reserve(patience: Duration): Duration? =
        lock.withLock {
            val now = start.elapsedNow()
            val wait = (next - tolerance - now).coerceAtLeast(Duration.ZERO)
            if (wait > patience) return null
            next = maxOf(next, now) + interval
            wait
        }
}
