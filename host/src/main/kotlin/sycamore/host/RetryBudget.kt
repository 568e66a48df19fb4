package sycamore.host

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Limits retries to a share of recent calls, so that they do not make an overload worse.
 *
 * @property retriesPerCall the retries that each call adds to the budget.
 * @property maxRetries the limit of the budget, which is also its initial size.
 */
internal class RetryBudget(
    private val retriesPerCall: Double = RETRIES_PER_CALL,
    private val maxRetries: Double = MAX_RETRIES,
) {
    private val lock = ReentrantLock()
    private var available = maxRetries

    /** Adds the retries of a call that begins. */
    fun onCall() = lock.withLock { available = minOf(maxRetries, available + retriesPerCall) }

    /** Takes one retry from the budget. Returns false if there is none. */
    fun tryAcquire(): Boolean =
        lock.withLock {
            if (available < 1) return@withLock false
            available--
            true
        }

    private companion object {
        const val RETRIES_PER_CALL = 0.2
        const val MAX_RETRIES = 50.0
    }
}
