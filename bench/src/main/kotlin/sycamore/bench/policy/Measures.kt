package sycamore.bench.policy

import org.HdrHistogram.Histogram
import sycamore.standins.engine.CallEnd
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** What a run of one policy gave. Durations are in seconds, tokens and bytes in units. */
internal data class ArmResult(
    val name: String,
    val programs: Int,
    val mean: Double,
    val p50: Double,
    val p95: Double,
    val p99: Double,
    val slowdown: Double,
    val firstTokenP95: Double,
    val betweenTokensP95: Double,
    val wastedTokens: Long,
    val computedTokens: Long,
    val billedBytes: Long,
    val fairness: Double,
    val worstWait: Double,
    val busy: Double,
    val refusals: Int,
    val refusedRunning: Int,
    val missedDeadline: Int,
    val isStable: Boolean,
    val latencies: List<Double>,
)

/** Collects what happens in a run. Programs that arrive during the first part of it are not counted. */
internal class Measures(
    private val fleet: PolicyFleet,
    programs: List<ProgramPlan>,
    private val length: Duration,
) {
    private val alone = programs.associate { it.id to Alone.latency(it, fleet) }
    private val latencies = ArrayList<Double>()
    private val slowdowns = HashMap<String, ArrayList<Double>>()
    private val firstToken = Histogram(MAX_MICROS, DIGITS)
    private val betweenTokens = Histogram(MAX_MICROS, DIGITS)
    private val arrivedLate = programs.count { it.arrival >= length / 2 }
    private var finishedLate = 0
    private var wasted = 0L
    private var computed = 0L
    private var refusals = 0
    private var refusedRunning = 0
    private var missed = 0
    private val admittedAt = HashMap<String, Duration>()

    /** Bytes across billed links. */
    var billedBytes = 0L

    /** Share of the time that the engines were busy while programs arrived. */
    var busy = 0.0

    fun steps(
        step: Duration,
        tokens: Long,
    ) {
        if (tokens > 0) betweenTokens.recordValueWithCount(step.inWholeMicroseconds, tokens)
    }

    fun call(
        end: CallEnd.Finished,
        wait: Duration,
        turn: TurnPlan,
    ) {
        firstToken.recordValue(wait.inWholeMicroseconds.coerceIn(0, MAX_MICROS))
        computed += end.computedTokens
        wasted += (end.computedTokens - turn.newTokens).coerceAtLeast(0)
    }

    fun admitted(
        plan: ProgramPlan,
        at: Duration,
    ) {
        admittedAt.putIfAbsent(plan.id, at)
    }

    fun refused(program: RunProgram) {
        refusals++
        if (program.turn > 0 || program.root != program.plan.id) refusedRunning++
    }

    fun finished(
        plan: ProgramPlan,
        at: Duration,
    ) {
        if (at >= length / 2 && at < length) finishedLate++
        if (plan.arrival < length * WARM_UP) return
        val latency = at - plan.arrival
        val ideal = alone.getValue(plan.id)
        latencies += latency.toDouble(DurationUnit.SECONDS)
        slowdowns.getOrPut(plan.caller.value) { ArrayList() } += latency / ideal
        val sinceAdmitted = at - (admittedAt[plan.id] ?: plan.arrival)
        if (sinceAdmitted > ideal * DEADLINE_FACTOR + DEADLINE_BASE) missed++
    }

    fun result(name: String): ArmResult {
        val sorted = latencies.sorted()
        val callers = slowdowns.values.map { it.average() }
        return ArmResult(
            name = name,
            programs = sorted.size,
            mean = sorted.average(),
            p50 = quantile(sorted, 0.50),
            p95 = quantile(sorted, 0.95),
            p99 = quantile(sorted, 0.99),
            slowdown = slowdowns.values.flatten().average(),
            firstTokenP95 = firstToken.getValueAtPercentile(P95) / MICROS,
            betweenTokensP95 = betweenTokens.getValueAtPercentile(P95) / MICROS,
            wastedTokens = wasted,
            computedTokens = computed,
            billedBytes = billedBytes,
            fairness = callers.sum() * callers.sum() / (callers.size * callers.sumOf { it * it }),
            worstWait = firstToken.maxValue / MICROS,
            busy = busy,
            refusals = refusals,
            refusedRunning = refusedRunning,
            missedDeadline = missed,
            isStable = finishedLate >= arrivedLate * STABLE_SHARE,
            latencies = sorted,
        )
    }

    private fun quantile(
        sorted: List<Double>,
        share: Double,
    ): Double = sorted[(sorted.size * share).toInt().coerceAtMost(sorted.lastIndex)]

    private companion object {
        const val MAX_MICROS = 100_000_000_000L
        const val DIGITS = 3
        const val MICROS = 1e6
        const val P95 = 95.0
        const val WARM_UP = 0.15
        const val STABLE_SHARE = 0.9
        const val DEADLINE_FACTOR = 10.0
        val DEADLINE_BASE = 60_000.milliseconds
    }
}

/** A program's latency when it is alone on the fastest engine of its fleet, which stands beside it. */
internal object Alone {
    /** The latency of [plan]. */
    fun latency(
        plan: ProgramPlan,
        fleet: PolicyFleet,
    ): Duration {
        val spec = fleet.engines.minBy { it.spec.stepBase }.spec
        var context = PolicyFleet.SYSTEM_TOKENS.toLong()
        var sum = Duration.ZERO
        plan.turns.forEachIndexed { i, turn ->
            context += turn.newTokens
            sum += spec.prefillPerToken * turn.newTokens + fleet.clientLatency * 2
            sum += spec.stepDuration(1, context + turn.outputTokens / 2, 0) * turn.outputTokens
            context += turn.outputTokens
            sum += turn.children.maxOfOrNull { latency(it, fleet) } ?: 0.microseconds
            if (i < plan.turns.lastIndex) sum += turn.pause
        }
        return sum
    }
}
