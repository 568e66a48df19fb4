package sycamore.decisions.accounts

import kotlin.math.exp
import kotlin.time.Duration

/** A count whose past decays exponentially with [period]. */
internal class DecayingCount(
    private val period: Duration,
) {
    private var count = 0.0
    private var countedAt = Duration.ZERO

    /** Adds [number] at [now]. */
    fun add(
        number: Int,
        now: Duration,
    ) {
        count = value(now) + number
        countedAt = maxOf(now, countedAt)
    }

    /** The count at [now]. */
    fun value(now: Duration): Double = if (now > countedAt) count * exp(-((now - countedAt) / period)) else count

    /** The number per second at [now]. */
    fun rate(now: Duration): Double = value(now) / period.seconds
}
