package sycamore.bench.load

import sycamore.bench.fleet.FleetLayout
import sycamore.bench.fleet.ProcessUsage
import sycamore.bench.fleet.coresByRole
import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Loads the fleet of [layout] by [plan], straight to its upstreams and through its entries in turns. */
internal class LoadRun(
    private val layout: FleetLayout,
    private val plan: LoadPlan,
    private val shape: ProgramShape,
    private val progress: (String) -> Unit,
) {
    private val clients = ChatClient(CONNECTIONS)
    private val sides =
        mapOf(
            Side.DIRECT to Traffic(clients, layout.engines, shape, keepsHistory = false),
            Side.SYSTEM to Traffic(clients, layout.entries, shape, keepsHistory = true),
        )

    /** Runs all phases. */
    suspend fun run(): LoadResult {
        try {
            Side.entries.forEach { saturate("warm-up", it, plan.warmUp) }
            return measure()
        } finally {
            sides.values.forEach { it.close() }
            clients.close()
        }
    }

    private suspend fun measure(): LoadResult {
        val peaks = rounds { side -> saturate("peak", side, plan.saturation) }
        val directPeak = total(peaks, Side.DIRECT)
        val systemPeak = total(peaks, Side.SYSTEM)
        val half = systemPeak.rate * LoadPlan.HALF_LOAD
        val halves = rounds { side -> offer("half load", side, half, plan.half) }
        val near = offer("load 0.9", Side.SYSTEM, systemPeak.rate * LoadPlan.NEAR_LOAD, plan.near)
        return LoadResult(
            directPeak,
            systemPeak,
            total(halves, Side.DIRECT),
            total(halves, Side.SYSTEM),
            near,
            peaks.chunked(Side.entries.size).map { (direct, system) -> system.rate / direct.rate },
            resident(),
            ManagementFactory.getOperatingSystemMXBean().systemLoadAverage,
        )
    }

    private suspend fun rounds(phase: suspend (Side) -> PhaseResult): List<PhaseResult> =
        List(plan.rounds) { Side.entries }.flatten().map { phase(it) }

    private fun total(
        results: List<PhaseResult>,
        side: Side,
    ): PhaseResult = results.filter { it.side == side }.reduce(PhaseResult::plus)

    private suspend fun saturate(
        name: String,
        side: Side,
        time: Duration,
    ): PhaseResult = phase(name, side, null) { traffic, tally -> traffic.saturate(plan.inFlight, time, tally) }

    private suspend fun offer(
        name: String,
        side: Side,
        rate: Double,
        time: Duration,
    ): PhaseResult = phase(name, side, rate) { traffic, tally -> traffic.offer(rate, time, tally) }

    private suspend fun phase(
        name: String,
        side: Side,
        offered: Double?,
        run: suspend (Traffic, Tally) -> Unit,
    ): PhaseResult {
        val tally = Tally()
        val before = ProcessUsage.read(layout)
        val start = TimeSource.Monotonic.markNow()
        run(sides.getValue(side), tally)
        val elapsed = start.elapsedNow()
        val cores = coresByRole(before, ProcessUsage.read(layout), elapsed)
        return PhaseResult(name, side, offered, elapsed, tally, cores).also { progress(LoadText.line(it)) }
    }

    private fun resident() =
        ProcessUsage
            .read(layout)
            .groupBy { it.process.role }
            .mapValues { (_, usages) -> usages.maxOf { it.residentBytes } / BYTES_PER_MEGABYTE }

    private companion object {
        const val CONNECTIONS = 512
        const val BYTES_PER_MEGABYTE = 1e6
    }
}
