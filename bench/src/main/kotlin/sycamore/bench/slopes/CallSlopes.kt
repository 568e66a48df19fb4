package sycamore.bench.slopes

import sycamore.bench.fleet.FleetLayout
import sycamore.bench.fleet.ProcessUsage
import sycamore.bench.fleet.Role
import sycamore.bench.fleet.coresByRole
import sycamore.bench.load.ChatClient
import sycamore.bench.load.ProgramShape
import sycamore.bench.load.Tally
import sycamore.bench.load.Traffic
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Processor time and bytes of daemons against calls and tokens, measured on a running fleet. */
internal class CallSlopes(
    private val layout: FleetLayout,
    private val time: Duration,
) {
    private class Load(
        val rate: Double,
        val tokens: Double,
        val cores: Map<Role, Double>,
    )

    /** All slopes of this kind. */
    suspend fun measure(): List<Slope> =
        ChatClient(CONNECTIONS).use { client ->
            run(client, WARM_UP_RATE, SHORT)
            val byRate = rates.map { run(client, it, SHORT) }
            val byLength = lengths.map { run(client, LENGTH_RATE, it) }
            listOf(Role.ENTRY, Role.HOST).flatMap { role ->
                listOf(
                    slope("call_cpu", role, "call a second", byRate) { it.rate },
                    slope("token_cpu", role, "token a second", byLength) { it.tokens },
                )
            }
        }

    private fun slope(
        name: String,
        role: Role,
        per: String,
        loads: List<Load>,
        size: (Load) -> Double,
    ) = Slope("${role.text}_$name", role.text, "cores", per, loads.map { Point(size(it), it.cores[role] ?: 0.0) })

    private suspend fun run(
        client: ChatClient,
        rate: Double,
        maxTokens: Int,
    ): Load {
        val tally = Tally()
        val before = ProcessUsage.read(layout)
        val start = TimeSource.Monotonic.markNow()
        Traffic(client, layout.entries, ProgramShape(TURNS, MODEL, maxTokens), keepsHistory = true).use {
            it.offer(rate, time, tally)
        }
        val elapsed = start.elapsedNow()
        check(tally.errors == 0L) { "expected no errors, found ${tally.errorsByKind}" }
        val seconds = elapsed.toDouble(DurationUnit.SECONDS)
        val cores = coresByRole(before, ProcessUsage.read(layout), elapsed)
        return Load(tally.answers / seconds, tally.tokens / seconds, cores)
    }

    private companion object {
        const val CONNECTIONS = 256
        const val MODEL = "wheel-7b"
        const val TURNS = 4
        const val SHORT = 6
        const val WARM_UP_RATE = 200.0
        const val LENGTH_RATE = 60.0
        val rates = listOf(50.0, 100.0, 200.0)
        val lengths = listOf(5, 12, 28)
    }
}
