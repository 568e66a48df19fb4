package sycamore.decisions.pace

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A measured [value] and the time at which it was taken. */
data class Sample(
    val value: Double,
    val at: Duration,
)

/**
 * The samples of the last seconds. Their quantiles ignore a minority of outliers, however large these are. Fewer samples
 * are kept for longer, so that an upstream with few calls is not forgotten between two of them.
 */
data class RecentSamples(
    private val samples: PersistentList<Sample> = persistentListOf(),
    private val window: Duration = WINDOW,
) {
    /** The number of samples. */
    val size: Int get() = samples.size

    /** The samples after [value] was measured at [at]. */
    fun plus(
        value: Double,
        at: Duration,
    ): RecentSamples {
        var kept = samples
        while (kept.size >= MAX_SIZE || (kept.size >= MIN_SIZE && kept[0].at < at - window)) kept = kept.removeAt(0)
        return copy(samples = kept.add(Sample(value, at)))
    }

    /** The value below which [share] of the samples are; null if there are none. */
    fun quantile(share: Double): Double? {
        if (samples.isEmpty()) return null
        val sorted = samples.mapTo(ArrayList(samples.size)) { it.value }.apply { sort() }
        return sorted[((sorted.size - 1) * share + ROUNDING).toInt()]
    }

    private companion object {
        /** Several times the length of a short disturbance, so that one fills only a part of it. */
        val WINDOW = 4.seconds
        const val MIN_SIZE = 7
        const val MAX_SIZE = 48
        const val ROUNDING = 0.5
    }
}
