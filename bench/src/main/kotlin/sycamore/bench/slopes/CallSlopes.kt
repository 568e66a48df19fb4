package sycamore.bench.slopes

import sycamore.bench.fleet.FleetLayout
import sycamore.bench.fleet.ProcessUsage
import sycamore.bench.fleet.Role
import sycamore.bench.fleet.coresByRole
import sycamore.bench.load.ChatClient
import sycamore.bench.load.LoadGenerator
import sycamore.bench.load.ProgramShape
import sycamore.bench.load.Tally
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Measures the processor time of daemons per call and per token on a running fleet. */
internal class CallSlopes(
    private val layout: FleetLayout,
    private val time: Duration,
) {
    private class LoadMeasurement(
        val callRate: Double,
        val tokenRate: Double,
        val cores: Map<Role, Double>,
    )

    /** Measures the slopes of all roles that handle calls. */
    suspend fun measure(): List<Slope> =
        ChatClient(CONNECTIONS).use { client ->
            measureLoad(client, WARM_UP_RATE, SHORT_ANSWER_TOKENS)
            val byRate = callRates.map { measureLoad(client, it, SHORT_ANSWER_TOKENS) }
            val byLength = answerTokens.map { measureLoad(client, TOKEN_SLOPE_RATE, it) }
            listOf(Role.ENTRY, Role.HOST).flatMap { role ->
                listOf(
                    slope("call_cpu", role, "call a second", byRate) { it.callRate },
                    slope("token_cpu", role, "token a second", byLength) { it.tokenRate },
                )
            }
        }

    private fun slope(
        name: String,
        role: Role,
        per: String,
        loads: List<LoadMeasurement>,
        size: (LoadMeasurement) -> Double,
    ) = Slope("${role.text}_$name", role.text, "cores", per, loads.map { Point(size(it), it.cores[role] ?: 0.0) })

    private suspend fun measureLoad(
        client: ChatClient,
        callRate: Double,
        maxTokens: Int,
    ): LoadMeasurement {
        val tally = Tally()
        val before = ProcessUsage.read(layout)
        val start = TimeSource.Monotonic.markNow()
        LoadGenerator(client, layout.entries, ProgramShape(TURNS, MODEL, maxTokens), keepsHistory = true).use {
            it.offer(callRate, time, tally)
        }
        val elapsed = start.elapsedNow()
        check(tally.errors == 0L) { "expected no errors, found ${tally.errorsByKind}" }
        val seconds = elapsed.toDouble(DurationUnit.SECONDS)
        val cores = coresByRole(before, ProcessUsage.read(layout), elapsed)
        return LoadMeasurement(tally.answers / seconds, tally.tokens / seconds, cores)
    }

    private companion object {
        const val CONNECTIONS = 256
        const val MODEL = "wheel-7b"
        const val TURNS = 4
        const val SHORT_ANSWER_TOKENS = 6
        const val WARM_UP_RATE = 200.0
        const val TOKEN_SLOPE_RATE = 60.0
        val callRates = listOf(50.0, 100.0, 200.0)
        val answerTokens = listOf(5, 12, 28)
    }
}
