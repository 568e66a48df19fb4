package sycamore.bench.load

import sycamore.bench.fleet.Role
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** The side that the calls of a phase are sent to: the upstreams directly, or the system's entries. */
internal enum class Side(
    val text: String,
) {
    DIRECT("direct"),
    SYSTEM("system"),
}

/**
 * The measurements of one phase on one side.
 *
 * @property offered the scheduled calls per second, or null for a closed loop.
 * @property cores the processor time used by each role, in cores.
 */
internal class PhaseResult(
    val name: String,
    val side: Side,
    val offered: Double?,
    val elapsed: Duration,
    val tally: Tally,
    val cores: Map<Role, Double>,
) {
    /** Complete answers per second. */
    val rate: Double get() = tally.answers / elapsed.toDouble(DurationUnit.SECONDS)

    /** Complete answers per second and core of [role], or null if the role used no processor time. */
    fun callsPerCore(role: Role): Double? = cores[role]?.takeIf { it > 0 }?.let { rate / it }

    /** Combines this round with [other], a further round of the same phase. */
    operator fun plus(other: PhaseResult): PhaseResult {
        val sumTally = Tally()
        sumTally.add(tally)
        sumTally.add(other.tally)
        val total = elapsed + other.elapsed
        val mean =
            (cores.keys + other.cores.keys).associateWith {
                ((cores[it] ?: 0.0) * (elapsed / total)) + ((other.cores[it] ?: 0.0) * (other.elapsed / total))
            }
        return PhaseResult(name, side, offered, total, sumTally, mean)
    }
}

/**
 * The measurements of a complete load run.
 *
 * @property directHalf the direct side at half of the system's highest rate.
 * @property systemHalf the system at half of its highest rate.
 * @property systemNearPeak the system near its highest rate.
 * @property roundRatios the throughput of the system divided by that of the direct side, for each round.
 * @property residentMegabytes the largest resident memory of a process of each role, at the end.
 * @property loadAverage the load average of the machine at the end, which includes other work on it.
 */
internal class LoadResult(
    val directPeak: PhaseResult,
    val systemPeak: PhaseResult,
    val directHalf: PhaseResult,
    val systemHalf: PhaseResult,
    val systemNearPeak: PhaseResult,
    val roundRatios: List<Double>,
    val residentMegabytes: Map<Role, Double>,
    val loadAverage: Double,
) {
    /** All phases, in the order that they ran. */
    val phases: List<PhaseResult> get() = listOf(directPeak, systemPeak, directHalf, systemHalf, systemNearPeak)

    /** The highest rate through the system divided by the highest rate without it. */
    val throughputRatio: Double get() = systemPeak.rate / directPeak.rate

    /** Latency that the system adds at [percentile], in milliseconds, at half load. */
    fun addedLatencyMillis(percentile: Double): Double =
        systemHalf.tally.callLatencies.millisAt(percentile) - directHalf.tally.callLatencies.millisAt(percentile)

    /** Number of failed calls in all phases. */
    val errors: Long get() = phases.sumOf { it.tally.errors }
}
