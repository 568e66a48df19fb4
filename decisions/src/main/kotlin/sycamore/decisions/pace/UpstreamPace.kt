package sycamore.decisions.pace

import kotlin.math.exp
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The usual time of the calls of a route, as its upstreams together show it.
 *
 * @property nanos the time; 0 if no call has ended.
 */
data class RouteTime(
    val nanos: Double = 0.0,
) {
    /** The usual time after a call took [time] at an upstream whose calls take [level] times the usual. */
    fun plus(
        time: Duration,
        level: Double,
    ): RouteTime {
        val sample = ln(time.inWholeNanoseconds.coerceAtLeast(1).toDouble() / level)
        return RouteTime(if (nanos == 0.0) exp(sample) else exp(ln(nanos) + (sample - ln(nanos)) * LAST_WEIGHT))
    }

    /** How [time] compares to the usual time. */
    fun ratio(time: Duration): Double = if (nanos == 0.0) 1.0 else time.inWholeNanoseconds / nanos

    private companion object {
        const val LAST_WEIGHT = 0.03
    }
}

/**
 * How fast a plain upstream is for this process, relative to the usual times of the routes of its calls.
 *
 * @property limit the number of calls of this process that the upstream takes well at once.
 * @property since when the upstream was first seen, or was seen again after an absence.
 */
data class UpstreamPace(
    val limit: ConcurrencyLimit,
    val since: Duration,
    private val ratios: RecentSamples = RecentSamples(window = WINDOW),
    private val slowdown: Slowdown = Slowdown(),
) {
    /** The time of calls as a multiple of the usual time. It stays near 1 while few calls have been measured. */
    val level: Double
        get() {
            val quantile = ratios.quantile(USUAL_SHARE) ?: return 1.0
            return exp(ln(quantile) * ratios.size / (ratios.size + DOUBT))
        }

    /** The time of a call that starts at [now] as a multiple of the usual time. */
    fun expected(now: Duration): Double = level * slowdown.at(now)

    /** The pace after a call took [ratio] times the usual time of its route, with [running] calls in progress. */
    fun plus(
        ratio: Double,
        running: Int,
        now: Duration,
    ): UpstreamPace {
        val bounded = ratio.coerceIn(1 / MAX_RATIO, MAX_RATIO)
        return copy(
            limit = limit.plus(bounded, running),
            ratios = ratios.plus(bounded, now),
            slowdown = slowdown.plus(bounded / level, now),
        )
    }

    private companion object {
        /** Longer than for engines: a gateway sees only a few of the calls of an upstream. */
        val WINDOW = 10.seconds
        const val USUAL_SHARE = 0.4
        const val DOUBT = 2.0
        const val MAX_RATIO = 20.0
    }
}
