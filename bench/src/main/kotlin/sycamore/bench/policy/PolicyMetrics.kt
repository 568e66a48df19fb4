package sycamore.bench.policy

import org.HdrHistogram.Histogram
import sycamore.standins.engine.CallEnd
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** The measurements of a run of one policy. Durations are in seconds; tokens and bytes are counts. */
internal data class PolicyResult(
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
    val engineUse: Double,
    val refusals: Int,
    val refusedRunning: Int,
    val missedDeadline: Int,
    val isStable: Boolean,
    val latencies: List<Double>,
)

/**
 * Collects the measurements of a run.
 *
 * The latencies and missed deadlines of programs that arrive during its warm-up are left out.
 */
internal class PolicyMetrics(
    private val fleet: PolicyFleet,
    programs: List<ProgramPlan>,
    private val length: Duration,
) {
    private val unloadedLatencies = programs.associate { it.id to UnloadedLatency.latency(it, fleet) }
    private val latencies = ArrayList<Double>()
    private val slowdowns = HashMap<String, ArrayList<Double>>()
    private val firstToken = Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)
    private val betweenTokens = Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)
    private val arrivedInSecondHalf = programs.count { it.arrival >= length / 2 }
    private var finishedInSecondHalf = 0
    private var wastedSum = 0L
    private var computedSum = 0L
    private var refusals = 0
    private var refusedRunning = 0
    private var missedDeadlines = 0
    private val admittedAt = HashMap<String, Duration>()

    /** Number of bytes sent over billed links. */
    var billedBytes = 0L

    /** Mean share of the arrival period in which an engine was busy. */
    var engineUse = 0.0

    /** Records that a decoding [step] produced [tokens] tokens. */
    fun recordSteps(
        step: Duration,
        tokens: Long,
    ) {
        if (tokens > 0) betweenTokens.recordValueWithCount(step.inWholeMicroseconds, tokens)
    }

    /** Records the first-token latency of a call, [wait], and the tokens that its engine computed. */
    fun recordCall(
        end: CallEnd.Finished,
        wait: Duration,
        turn: TurnPlan,
    ) {
        firstToken.recordValue(wait.inWholeMicroseconds.coerceIn(0, MAX_RECORDED_MICROS))
        computedSum += end.computedTokens
        wastedSum += (end.computedTokens - turn.newTokens).coerceAtLeast(0)
    }

    fun recordAdmission(
        plan: ProgramPlan,
        at: Duration,
    ) {
        admittedAt.putIfAbsent(plan.id, at)
    }

    fun recordRefusal(program: RunProgram) {
        refusals++
        if (program.turnIndex > 0 || program.rootId != program.plan.id) refusedRunning++
    }

    /** Records that the program of [plan] has ended at [at]. */
    fun recordProgramEnd(
        plan: ProgramPlan,
        at: Duration,
    ) {
        if (at >= length / 2 && at < length) finishedInSecondHalf++
        if (plan.arrival < length * WARM_UP_SHARE) return
        val latency = at - plan.arrival
        val unloaded = unloadedLatencies.getValue(plan.id)
        latencies += latency.toDouble(DurationUnit.SECONDS)
        slowdowns.getOrPut(plan.caller.value) { ArrayList() } += latency / unloaded
        val sinceAdmitted = at - (admittedAt[plan.id] ?: plan.arrival)
        if (sinceAdmitted > unloaded * DEADLINE_FACTOR + DEADLINE_BASE) missedDeadlines++
    }

    fun result(name: String): PolicyResult {
        val sorted = latencies.sorted()
        val byCaller = slowdowns.values.map { it.average() }
        return PolicyResult(
            name = name,
            programs = sorted.size,
            mean = sorted.average(),
            p50 = quantile(sorted, 0.50),
            p95 = quantile(sorted, 0.95),
            p99 = quantile(sorted, 0.99),
            slowdown = slowdowns.values.flatten().average(),
            firstTokenP95 = firstToken.getValueAtPercentile(P95) / MICROS_PER_SECOND,
            betweenTokensP95 = betweenTokens.getValueAtPercentile(P95) / MICROS_PER_SECOND,
            wastedTokens = wastedSum,
            computedTokens = computedSum,
            billedBytes = billedBytes,
            fairness = byCaller.sum() * byCaller.sum() / (byCaller.size * byCaller.sumOf { it * it }),
            worstWait = firstToken.maxValue / MICROS_PER_SECOND,
            engineUse = engineUse,
            refusals = refusals,
            refusedRunning = refusedRunning,
            missedDeadline = missedDeadlines,
            isStable = finishedInSecondHalf >= arrivedInSecondHalf * STABLE_SHARE,
            latencies = sorted,
        )
    }

    private fun quantile(
        sorted: List<Double>,
        share: Double,
    ): Double = sorted[(sorted.size * share).toInt().coerceAtMost(sorted.lastIndex)]

    private companion object {
        const val MAX_RECORDED_MICROS = 100_000_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val MICROS_PER_SECOND = 1e6
        const val P95 = 95.0
        const val WARM_UP_SHARE = 0.15
        const val STABLE_SHARE = 0.9
        const val DEADLINE_FACTOR = 10.0
        val DEADLINE_BASE = 60_000.milliseconds
    }
}

/** The latency of a program that runs alone on the fastest engine of its fleet, in the same place as that engine. */
internal object UnloadedLatency {
    /** Computes the latency of [plan]. */
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
