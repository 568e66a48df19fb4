package sycamore.bench.slopes

import sycamore.daemon.InForce
import sycamore.daemon.Members
import sycamore.model.Epoch
import sycamore.programs.CallLedger
import sycamore.programs.ProgramState
import sycamore.programs.ProgramTable
import sycamore.programs.Segment
import sycamore.programs.Segments
import sycamore.services.wireJson
import kotlin.time.Duration

/** Memory and encoded bytes of the state that daemons keep, measured on their own classes. */
internal class StateSlopes(
    private val scale: Int,
) {
    private val programs = listOf(500, 1_000, 2_000).map { it * scale }
    private val members = listOf(200, 400, 800).map { it * scale }

    /** All slopes of this kind. */
    fun measure(): List<Slope> {
        table(programs.first(), 1, SHORT)
        return heap() + encoded()
    }

    private fun heap(): List<Slope> =
        listOf(
            Slope.measure("program_state", "host", "bytes", "program", programs) { table(it, 1, SHORT) },
            Slope.measure("turn_state", "host", "bytes", "turn", listOf(4, 8, 16)) {
                table(PROGRAMS, it, SHORT) / PROGRAMS
            },
            Slope.measure("history_state", "host", "bytes", "byte of history", listOf(1_000, 4_000, 16_000)) {
                table(PROGRAMS, 1, it / 2) / PROGRAMS
            },
            Slope.measure("ledger_state", "host", "bytes", "ledger entry", programs.map { it * 10 }, ::ledger),
            Slope.measure("member_state", "any", "bytes", "member", members) {
                Meter.heapBytes { Members().apply { update(List(it, Samples::host)) } }
            },
            Slope.measure("configuration_state", "any", "bytes", "upstream", members) {
                Meter.heapBytes { Samples.configuration(it, CALLERS) }
            },
        )

    private fun table(
        count: Int,
        turns: Int,
        messageBytes: Int,
    ): Double =
        Meter.heapBytes {
            ProgramTable().apply {
                repeat(count) { add(checkNotNull(ProgramState.fold(Samples.records(it, turns, messageBytes)))) }
            }
        }

    private fun ledger(count: Int): Double =
        Meter.heapBytes {
            CallLedger<Any>(
                maxCalls = count,
            ).apply { repeat(count) { enter(Samples.call(it), Duration.ZERO) { Any() } } }
        }

    private fun encoded(): List<Slope> =
        listOf(
            Slope.measure("segment_size", "key-value", "bytes", "turn", listOf(10, 20, 40), ::segment),
            Slope.measure("history_size", "key-value", "bytes", "byte of history", listOf(1_000, 4_000, 16_000)) {
                segment(SEGMENT_PROGRAMS, it / 2) / SEGMENT_PROGRAMS
            },
            Slope.measure("configuration_size", "key-value", "bytes", "upstream", members) {
                InForce.encode(Samples.configuration(it, CALLERS)).size.toDouble()
            },
            Slope.measure("account_size", "key-value", "bytes", "account", listOf(100, 200, 400)) {
                InForce.encode(Samples.configuration(0, it)).size.toDouble()
            },
            Slope.measure("host_list_size", "any", "bytes", "member", members) {
                wireJson
                    .encodeToString(List(it, Samples::host))
                    .length
                    .toDouble()
            },
        )

    private fun segment(turns: Int): Double = segment(turns, SHORT)

    private fun segment(
        programs: Int,
        messageBytes: Int,
    ): Double {
        val records = (1..programs).flatMap { Samples.records(it, 1, messageBytes) }
        return Segments.encode(Segment(Samples.home, "id", Epoch.FIRST, Samples.numbered(records))).size.toDouble()
    }

    private companion object {
        const val SHORT = 200
        const val PROGRAMS = 200
        const val SEGMENT_PROGRAMS = 20
        const val CALLERS = 10
    }
}
