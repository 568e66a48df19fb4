package sycamore.decisions.pace

import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The cost of sending a plain call to an upstream, in the unit of the load: the share of its slots that is in use.
 *
 * @property usual the expected time of a call at the upstream in the middle, as a multiple of the route's usual time.
 * @property oldest when the first of the upstreams was seen.
 */
class UpstreamCost(
    private val usual: Double,
    private val oldest: Duration,
    private val now: Duration,
) {
    /** The cost of an upstream with [running] calls of this process and the learned [pace]. */
    fun of(
        running: Int,
        slots: Int,
        pace: UpstreamPace?,
    ): Double {
        val entered = if (pace == null) 0.0 else entryShare(pace)
        val load = running / (slots * entered).coerceAtLeast(1.0)
        if (pace == null) return load
        val excess = (running + 1 - pace.limit.limit).coerceAtLeast(0.0) / pace.limit.limit
        return load + excess + paceCost(pace.expected(now) / usual)
    }

    /** The share of its slots that an upstream may fill. It grows after it appeared beside upstreams in use. */
    private fun entryShare(pace: UpstreamPace): Double =
        if (pace.since - oldest < ENTRY_TIME) 1.0 else ((now - pace.since) / ENTRY_TIME).coerceIn(0.0, 1.0)

    /** Small differences cost nothing, so that errors of measurement move no call. */
    private fun paceCost(relative: Double): Double =
        if (abs(relative - 1) < MIN_DIFFERENCE) 0.0 else ((relative - 1) * PACE_WEIGHT).coerceAtMost(MAX_PACE_COST)

    companion object {
        private const val MIN_DIFFERENCE = 0.25
        private const val MAX_PACE_COST = 1.5

        /** Less than the whole difference, so that the gateways do not all send their calls to the fastest upstream. */
        private const val PACE_WEIGHT = 0.4
        private val ENTRY_TIME = 3.seconds

        /** The costs at [now] among upstreams with the given [paces]. */
        fun among(
            paces: Collection<UpstreamPace>,
            now: Duration,
        ): UpstreamCost {
            val sorted = paces.map { it.expected(now) }.sorted()
            return UpstreamCost(
                usual = sorted.getOrElse((sorted.size - 1) / 2) { 1.0 },
                oldest = paces.minOfOrNull { it.since } ?: now,
                now = now,
            )
        }
    }
}
