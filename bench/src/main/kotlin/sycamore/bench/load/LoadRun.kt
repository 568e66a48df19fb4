package sycamore.bench.load

import sycamore.bench.fleet.FleetLayout
import sycamore.bench.fleet.ProcessUsage
import sycamore.bench.fleet.coresByRole
import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Loads the fleet of [layout] by [plan], alternating between its upstreams and its entries. */
internal class LoadRun(
    private val layout: FleetLayout,
    private val plan: LoadPlan,
    private val shape: ProgramShape,
    private val progress: (String) -> Unit,
) {
    private val client = ChatClient(CONNECTIONS)
    private val generators =
        mapOf(
            Side.DIRECT to LoadGenerator(client, layout.engines, shape, keepsHistory = false),
            Side.SYSTEM to LoadGenerator(client, layout.entries, shape, keepsHistory = true),
        )

    /** Runs all phases and returns their measurements. */
    suspend fun run(): LoadResult {
        try {
            Side.entries.forEach { saturate("warm-up", it, plan.warmUp) }
            return measure()
        } finally {
            generators.values.forEach { it.close() }
            client.close()
        }
    }

    private suspend fun measure(): LoadResult {
        val peaks = rounds { side -> saturate("peak", side, plan.saturation) }
        val directPeak = combineRounds(peaks, Side.DIRECT)
        val systemPeak = combineRounds(peaks, Side.SYSTEM)
        val halfRate = systemPeak.rate * LoadPlan.HALF_LOAD
        val halfLoads = rounds { side -> offer("half load", side, halfRate, plan.halfLoad) }
        val nearPeak = offer("load 0.9", Side.SYSTEM, systemPeak.rate * LoadPlan.NEAR_PEAK_LOAD, plan.nearPeak)
        return LoadResult(
            directPeak,
            systemPeak,
            combineRounds(halfLoads, Side.DIRECT),
            combineRounds(halfLoads, Side.SYSTEM),
            nearPeak,
            peaks.chunked(Side.entries.size).map { (direct, system) -> system.rate / direct.rate },
            residentMegabytes(),
            ManagementFactory.getOperatingSystemMXBean().systemLoadAverage,
        )
    }

    private suspend fun rounds(phase: suspend (Side) -> PhaseResult): List<PhaseResult> =
        List(plan.rounds) { Side.entries }.flatten().map { phase(it) }

    private fun combineRounds(
        results: List<PhaseResult>,
        side: Side,
    ): PhaseResult = results.filter { it.side == side }.reduce(PhaseResult::plus)

    private suspend fun saturate(
        name: String,
        side: Side,
        time: Duration,
    ): PhaseResult = phase(name, side, null) { generator, tally -> generator.saturate(plan.inFlight, time, tally) }

    private suspend fun offer(
        name: String,
        side: Side,
        rate: Double,
        time: Duration,
    ): PhaseResult = phase(name, side, rate) { generator, tally -> generator.offer(rate, time, tally) }

    private suspend fun phase(
        name: String,
        side: Side,
        offered: Double?,
        run: suspend (LoadGenerator, Tally) -> Unit,
    ): PhaseResult {
        val tally = Tally()
        val before = ProcessUsage.read(layout)
        val start = TimeSource.Monotonic.markNow()
        run(generators.getValue(side), tally)
        val elapsed = start.elapsedNow()
        val cores = coresByRole(before, ProcessUsage.read(layout), elapsed)
        return PhaseResult(name, side, offered, elapsed, tally, cores).also { progress(LoadText.progressLine(it)) }
    }

    private fun residentMegabytes() =
        ProcessUsage
            .read(layout)
            .groupBy { it.process.role }
            .mapValues { (_, usages) -> usages.maxOf { it.residentBytes } / BYTES_PER_MEGABYTE }

    private companion object {
        const val CONNECTIONS = 512
        const val BYTES_PER_MEGABYTE = 1e6
    }
}
