package sycamore.bench.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Runs the policies on the same arrivals. */
internal class PolicyComparison(
    private val fleet: PolicyFleet,
    private val seed: Long,
    private val length: Duration,
    private val faults: PolicyFaults,
) {
    private val saturation = fleet.saturation(Workload(fleet, SAMPLE_SEED).programs(rate = 1.0, SAMPLE_LENGTH))

    /** Runs all policies at [load] and returns their results, the baselines first. */
    fun run(load: Double): List<PolicyResult> = PolicyKind.entries.map { run(it, load) }

    /** Describes the highest load below [load] at which the policy called [name] keeps up with the arrivals. */
    fun stableLoad(
        name: String,
        load: Double,
    ): String {
        val kind = PolicyKind.entries.first { it.text == name }
        val steps = ((load - MIN_LOAD) / LOAD_STEP).toInt()
        val stable = (1..steps).map { load - it * LOAD_STEP }.firstOrNull { run(kind, it).isStable }
        return stable?.let { "stable up to load %.1f".format(it) } ?: "not stable at load %.1f either".format(MIN_LOAD)
    }

    /** Runs the policy [kind] at [load]. */
    fun run(
        kind: PolicyKind,
        load: Double,
    ): PolicyResult =
        PolicyRun(fleet, Workload(fleet, seed).programs(saturation * load, length), kind, length, faults).run()

    private companion object {
        const val SAMPLE_SEED = 7L
        const val LOAD_STEP = 0.1
        const val MIN_LOAD = 0.1
        val SAMPLE_LENGTH = 60.minutes
    }
}
