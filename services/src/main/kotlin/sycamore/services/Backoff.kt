package sycamore.services

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Pauses between attempts that failed: exponential, with full jitter above a floor of half the bound.
 *
 * Not thread-safe; each loop has one of its own.
 *
 * @property first bound of the first pause.
 * @property most bound of every later pause.
 */
class Backoff(
    private val first: Duration = 100.milliseconds,
    private val most: Duration = 10.seconds,
    private val random: Random = Random.Default,
) {
    private var bound = first

    /** The pause before the next attempt. */
    fun next(): Duration {
        val pause = bound * random.nextDouble(LEAST_SHARE, 1.0)
        bound = minOf(bound * 2, most)
        return pause
    }

    /** Begins again with [first], after an attempt that succeeded. */
    fun reset() {
        bound = first
    }

    companion object {
        private val FIRST = 200.milliseconds
        private val MOST = 1.seconds

        /** For followers that have to notice the service's return within a second or two. */
        fun prompt(): Backoff = Backoff(FIRST, MOST)

        private const val LEAST_SHARE = 0.5
    }
}
