package sycamore.services

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Computes the pauses after failed attempts: exponential backoff with full jitter between half the bound and the bound.
 *
 * Not thread-safe; each retry loop uses its own instance.
 *
 * @property first the bound of the first pause. It doubles with each pause, up to [max].
 * @property max the maximum bound.
 */
class Backoff(
    private val first: Duration = 100.milliseconds,
    private val max: Duration = 10.seconds,
    private val random: Random = Random.Default,
) {
    private var bound = first

    /** Returns the pause before the next attempt. */
    fun next(): Duration {
        val pause = bound * random.nextDouble(MIN_BOUND_SHARE, 1.0)
        bound = minOf(bound * 2, max)
        return pause
    }

    /** Starts again with [first], after a successful attempt. */
    fun reset() {
        bound = first
    }

    companion object {
        private val SHORT_FIRST = 200.milliseconds
        private val SHORT_MAX = 1.seconds

        /** Pauses for loops that have to notice within a second or two that the service is available again. */
        fun shortPauses(): Backoff = Backoff(SHORT_FIRST, SHORT_MAX)

        private const val MIN_BOUND_SHARE = 0.5
    }
}
