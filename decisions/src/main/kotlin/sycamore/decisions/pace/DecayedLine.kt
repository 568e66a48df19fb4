package sycamore.decisions.pace

import kotlin.math.pow
import kotlin.time.Duration

/**
 * A line y = [intercept] + [slope] * x through measurements whose weight halves after each [halfLife]. Without enough
 * spread of x, the slope stays near 0.
 *
 * @property ridge the spread of x, as a weighted sum of squares, from which the slope counts half.
 */
data class DecayedLine(
    private val halfLife: Duration,
    private val ridge: Double,
    private val at: Duration = Duration.ZERO,
    private val weight: Double = 0.0,
    private val meanX: Double = 0.0,
    private val meanY: Double = 0.0,
    private val squares: Double = 0.0,
    private val products: Double = 0.0,
) {
    val slope: Double get() = products / (squares + ridge)
    val intercept: Double get() = meanY - slope * meanX

    /** The line after [y] was measured for [x] at [now]. */
    fun plus(
        x: Double,
        y: Double,
        now: Duration,
    ): DecayedLine {
        val decay = 0.5.pow(((now - at) / halfLife).coerceAtLeast(0.0))
        val newWeight = weight * decay + 1
        val newX = meanX + (x - meanX) / newWeight
        val newY = meanY + (y - meanY) / newWeight
        return copy(
            at = maxOf(at, now),
            weight = newWeight,
            meanX = newX,
            meanY = newY,
            squares = squares * decay + (x - meanX) * (x - newX),
            products = products * decay + (x - meanX) * (y - newY),
        )
    }
}
