package sycamore.decisions.pace

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How much slower an upstream is at present than it usually is, as a [factor] of 1 or more. It fades with the time since
 * the last measurement, since disturbances are short.
 */
data class Slowdown(
    private val factor: Double = 1.0,
    private val at: Duration = Duration.ZERO,
) {
    /** The factor at the time [now]. */
    fun at(now: Duration): Double = fade(factor, now - at)

    /** The slowdown after something took [ratio] times the usual time, as measured at [now]. */
    fun plus(
        ratio: Double,
        now: Duration,
    ): Slowdown {
        val before = at(now)
        return Slowdown((before + (ratio - before) * LAST_WEIGHT).coerceIn(1.0, MAX_FACTOR), maxOf(at, now))
    }

    companion object {
        /** The time in which half of a disturbance is over. */
        private val HALF_LIFE = 300.milliseconds

        /** Above this, only the order among slow upstreams would change. */
        const val MAX_FACTOR = 20.0

        /** Several measurements in a row are needed, since a single one may be an unusual call. */
        private const val LAST_WEIGHT = 0.4

        /** What is left of [factor] after [age]. */
        fun fade(
            factor: Double,
            age: Duration,
        ): Double = 1 + (factor - 1) * 0.5.pow((age / HALF_LIFE).coerceAtLeast(0.0))
    }
}
