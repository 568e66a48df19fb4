package sycamore.bench.load

import kotlin.time.Duration

/**
 * How the time of a load run is divided.
 *
 * @property total of all phases.
 * @property inFlight programs kept under way while the highest rate is sought.
 * @property rounds how often the direct and the system's side take turns, so that both meet the same machine.
 */
internal data class LoadPlan(
    val total: Duration,
    val inFlight: Int,
    val rounds: Int,
) {
    /** Warms up one side before anything counts. */
    val warmUp: Duration get() = total * WARM_UP

    /** One side's share of a round at the highest rate. */
    val saturation: Duration get() = total * SATURATION / rounds

    /** One side's share of a round at half of the system's highest rate. */
    val half: Duration get() = total * HALF / rounds

    /** The run near the highest rate. */
    val near: Duration get() = total * NEAR

    companion object {
        /** Share of the highest rate offered in the last phase. */
        const val NEAR_LOAD = 0.9

        /** Share of the highest rate offered when latencies are compared. */
        const val HALF_LOAD = 0.5

        private const val WARM_UP = 0.1
        private const val SATURATION = 0.15
        private const val HALF = 0.175
        private const val NEAR = 0.15
    }
}
