package sycamore.bench.load

import kotlin.time.Duration

/**
 * The durations of the phases of a load run.
 *
 * @property total the duration of all phases together.
 * @property inFlight the number of programs in progress while the highest rate is measured.
 * @property rounds the number of times that the direct and the system's side are measured in alternation, so that
 * other load on the machine affects both alike.
 */
internal data class LoadPlan(
    val total: Duration,
    val inFlight: Int,
    val rounds: Int,
) {
    /** Duration of the warm-up of one side, whose measurements are discarded. */
    val warmUp: Duration get() = total * WARM_UP_SHARE

    /** Duration of one side's part of a round at the highest rate. */
    val saturation: Duration get() = total * SATURATION_SHARE / rounds

    /** Duration of one side's part of a round at half of the system's highest rate. */
    val halfLoad: Duration get() = total * HALF_SHARE / rounds

    /** Duration of the last phase, near the system's highest rate. */
    val nearPeak: Duration get() = total * NEAR_PEAK_SHARE

    companion object {
        /** Share of the system's highest rate that is offered in the last phase. */
        const val NEAR_PEAK_LOAD = 0.9

        /** Share of the system's highest rate that is offered when latencies are compared. */
        const val HALF_LOAD = 0.5

        private const val WARM_UP_SHARE = 0.1
        private const val SATURATION_SHARE = 0.15
        private const val HALF_SHARE = 0.175
        private const val NEAR_PEAK_SHARE = 0.15
    }
}
