package sycamore.bench.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Runs all policies on the same arrivals. */
internal class PolicyComparison(
    private val fleet: PolicyFleet,
    private val seed: Long,
    private val length: Duration,
    private val faults: PolicyFaults,
) {
    private val saturation = fleet.saturation(Workload(fleet, SAMPLE_SEED).programs(rate = 1.0, SAMPLE))

    /** The results at [load], the baselines first. */
    fun run(load: Double): List<ArmResult> = ArmKind.entries.map { run(it, load) }

    /** Tells the highest load below [load] at which the policy called [name] keeps up with the arrivals. */
    fun stableLoad(
        name: String,
        load: Double,
    ): String {
        val kind = ArmKind.entries.first { it.text == name }
        val steps = ((load - SMALLEST) / STEP).toInt()
        val stable = (1..steps).map { load - it * STEP }.firstOrNull { run(kind, it).isStable }
        return stable?.let { "stable up to load %.1f".format(it) } ?: "not stable at load %.1f either".format(SMALLEST)
    }

    /** The result of the policy [kind] at [load]. */
    fun run(
        kind: ArmKind,
        load: Double,
    ): ArmResult =
        PolicyRun(fleet, Workload(fleet, seed).programs(saturation * load, length), kind, length, faults).run()

    private companion object {
        const val SAMPLE_SEED = 7L
        const val STEP = 0.1
        const val SMALLEST = 0.1
        val SAMPLE = 60.minutes
    }
}
