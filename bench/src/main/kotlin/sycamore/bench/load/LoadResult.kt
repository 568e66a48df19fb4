package sycamore.bench.load

import sycamore.bench.fleet.Role
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** The side of the system that calls are sent to. */
internal enum class Side(
    val text: String,
) {
    DIRECT("direct"),
    SYSTEM("system"),
}

/**
 * What one phase on one side gave.
 *
 * @property offered calls a second by schedule, or null for a closed loop.
 * @property cores processor time of each role, in cores.
 */
internal class PhaseResult(
    val name: String,
    val side: Side,
    val offered: Double?,
    val elapsed: Duration,
    val tally: Tally,
    val cores: Map<Role, Double>,
) {
    /** Whole answers a second. */
    val rate: Double get() = tally.answers / elapsed.toDouble(DurationUnit.SECONDS)

    /** Whole answers per second and core of [role], or null if it used none. */
    fun callsPerCore(role: Role): Double? = cores[role]?.takeIf { it > 0 }?.let { rate / it }

    /** This and [other], a further round of the same phase. */
    operator fun plus(other: PhaseResult): PhaseResult {
        val sum = Tally()
        sum.add(tally)
        sum.add(other.tally)
        val both = elapsed + other.elapsed
        val mean =
            (cores.keys + other.cores.keys).associateWith {
                ((cores[it] ?: 0.0) * (elapsed / both)) + ((other.cores[it] ?: 0.0) * (other.elapsed / both))
            }
        return PhaseResult(name, side, offered, both, sum, mean)
    }
}

/**
 * What a whole load run gave.
 *
 * @property residentMegabytes largest resident memory of a process of each role, at the end.
 * @property loadAverage of the machine at the end, which other work shares.
 */
internal class LoadResult(
    val directPeak: PhaseResult,
    val systemPeak: PhaseResult,
    val directHalf: PhaseResult,
    val systemHalf: PhaseResult,
    val systemNear: PhaseResult,
    val ratios: List<Double>,
    val residentMegabytes: Map<Role, Double>,
    val loadAverage: Double,
) {
    /** All phases, in the order that they ran. */
    val phases: List<PhaseResult> get() = listOf(directPeak, systemPeak, directHalf, systemHalf, systemNear)

    /** Highest rate through the system against the highest rate without it. */
    val throughputRatio: Double get() = systemPeak.rate / directPeak.rate

    /** Latency that the system adds at [percentile], in milliseconds, at half load. */
    fun addedMillis(percentile: Double): Double =
        systemHalf.tally.callTimes.millisAt(percentile) - directHalf.tally.callTimes.millisAt(percentile)

    /** Calls of all phases that failed. */
    val errors: Long get() = phases.sumOf { it.tally.errors }
}
