package sycamore.host

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Bounds retries to a share of recent calls, so that they do not make an overload worse. */
internal class RetryBudget(
    private val share: Double = SHARE,
    private val most: Double = MOST,
) {
    private val lock = ReentrantLock()
    private var left = most

    /** A call began. */
    fun earn() = lock.withLock { left = minOf(most, left + share) }

    /** Takes one retry if there is one left. */
    fun take(): Boolean =
        lock.withLock {
            if (left < 1) return@withLock false
            left--
            true
        }

    private companion object {
        const val SHARE = 0.2
        const val MOST = 50.0
    }
}
