package sycamore.services

import kotlinx.coroutines.delay
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * A token bucket rate limiter.
 *
 * @param perSecond the average number of permits a second.
 * @param burst the number of permits that may be acquired at once after a pause.
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
    private var nextPermit = Duration.ZERO

    /** Waits for a permit; returns false immediately if that would take longer than [maxWait]. */
    suspend fun acquire(maxWait: Duration): Boolean {
        val wait = reserve(maxWait) ?: return false
        if (wait > Duration.ZERO) delay(wait)
        return true
    }

    /** Acquires a permit if one is available and returns zero; otherwise returns the time until one is available. */
    fun tryAcquire(): Duration =
        lock.withLock {
            val now = start.elapsedNow()
            val wait = (nextPermit - tolerance - now).coerceAtLeast(Duration.ZERO)
            if (wait == Duration.ZERO) nextPermit = maxOf(nextPermit, now) + interval
            wait
        }

    /** Reserves a permit and returns the time until it may be used, or null if there is none within [maxWait]. */
    private fun reserve(maxWait: Duration): Duration? =
        lock.withLock {
            val now = start.elapsedNow()
            val wait = (nextPermit - tolerance - now).coerceAtLeast(Duration.ZERO)
            if (wait > maxWait) return null
            nextPermit = maxOf(nextPermit, now) + interval
            wait
        }
}
