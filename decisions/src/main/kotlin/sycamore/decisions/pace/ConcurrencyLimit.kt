package sycamore.decisions.pace

import kotlin.math.sqrt

/**
 * The number of calls at once that an upstream takes well, between 1 and its [slots]. It falls while calls that use up
 * the limit take longer than calls with few others, and rises while they do not. Disturbances and the upstream's own pace
 * act on both kinds of calls, and so do not move it.
 *
 * @property limit the number of calls; a fraction is kept for slow changes.
 */
data class ConcurrencyLimit(
    val slots: Int,
    val limit: Double = slots.toDouble(),
    private val unloaded: Double = 0.0,
    private val loaded: Double = 0.0,
) {
    /**
     * The limit after a call that took [ratio] times what is usual for its route, and that began as one of [running]
     * calls in progress.
     */
    fun plus(
        ratio: Double,
        running: Int,
    ): ConcurrencyLimit {
        val isFew = running == 1 || running * 2 < limit
        val nextUnloaded = if (isFew) smooth(unloaded, ratio) else unloaded
        if (running * 2 < limit) return copy(unloaded = nextUnloaded)
        val nextLoaded = smooth(loaded, ratio)
        val gradient =
            if (nextUnloaded == 0.0) 1.0 else (TOLERANCE * nextUnloaded / nextLoaded).coerceIn(MIN_GRADIENT, 1.0)
        val target = limit * gradient + sqrt(limit) * PROBE
        val next = limit + (target - limit) * STEP
        return copy(limit = next.coerceIn(1.0, slots.toDouble()), unloaded = nextUnloaded, loaded = nextLoaded)
    }

    private fun smooth(
        mean: Double,
        sample: Double,
    ): Double = if (mean == 0.0) sample else mean + (sample - mean) * LAST_WEIGHT

    private companion object {
        /** Calls may take this much longer than unloaded ones before the limit falls. */
        const val TOLERANCE = 1.3
        const val MIN_GRADIENT = 0.5
        const val LAST_WEIGHT = 0.1
        const val PROBE = 0.2
        const val STEP = 0.1
    }
}
