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

/** Measures the memory and the encoded bytes of the daemons' state by using their own classes. */
internal class StateSlopes(
    private val sizeFactor: Int,
) {
    private val programs = listOf(500, 1_000, 2_000).map { it * sizeFactor }
    private val members = listOf(200, 400, 800).map { it * sizeFactor }

    /** Measures all slopes of state. */
    fun measure(): List<Slope> {
        tableBytes(programs.first(), 1, SHORT_MESSAGE_BYTES)
        return heapSlopes() + encodedSlopes()
    }

    private fun heapSlopes(): List<Slope> =
        listOf(
            Slope.measure("program_state", "host", "bytes", "program", programs) {
                tableBytes(it, 1, SHORT_MESSAGE_BYTES)
            },
            Slope.measure("turn_state", "host", "bytes", "turn", listOf(4, 8, 16)) {
                tableBytes(PROGRAM_COUNT, it, SHORT_MESSAGE_BYTES) / PROGRAM_COUNT
            },
            Slope.measure("history_state", "host", "bytes", "byte of history", listOf(1_000, 4_000, 16_000)) {
                tableBytes(PROGRAM_COUNT, 1, it / 2) / PROGRAM_COUNT
            },
            Slope.measure("ledger_state", "host", "bytes", "ledger entry", programs.map { it * 10 }, ::ledgerBytes),
            Slope.measure("member_state", "any", "bytes", "member", members) {
                ResourceMeter.heapBytes { Members().apply { update(List(it, SampleData::host)) } }
            },
            Slope.measure("configuration_state", "any", "bytes", "upstream", members) {
                ResourceMeter.heapBytes { SampleData.configuration(it, ACCOUNT_COUNT) }
            },
        )

    private fun tableBytes(
        count: Int,
        turns: Int,
        messageBytes: Int,
    ): Double =
        ResourceMeter.heapBytes {
            ProgramTable().apply {
                repeat(count) {
                    add(checkNotNull(ProgramState.fold(SampleData.programRecords(it, turns, messageBytes))))
                }
            }
        }

    private fun ledgerBytes(count: Int): Double =
        ResourceMeter.heapBytes {
            CallLedger<Any>(
                maxCalls = count,
            ).apply { repeat(count) { enter(SampleData.callId(it), Duration.ZERO) { Any() } } }
        }

    private fun encodedSlopes(): List<Slope> =
        listOf(
            Slope.measure("segment_size", "key-value", "bytes", "turn", listOf(10, 20, 40), ::segmentBytes),
            Slope.measure("history_size", "key-value", "bytes", "byte of history", listOf(1_000, 4_000, 16_000)) {
                segmentBytes(PROGRAMS_PER_SEGMENT, it / 2) / PROGRAMS_PER_SEGMENT
            },
            Slope.measure("configuration_size", "key-value", "bytes", "upstream", members) {
                InForce.encode(SampleData.configuration(it, ACCOUNT_COUNT)).size.toDouble()
            },
            Slope.measure("account_size", "key-value", "bytes", "account", listOf(100, 200, 400)) {
                InForce.encode(SampleData.configuration(0, it)).size.toDouble()
            },
            Slope.measure("host_list_size", "any", "bytes", "member", members) {
                wireJson
                    .encodeToString(List(it, SampleData::host))
                    .length
                    .toDouble()
            },
        )

    private fun segmentBytes(turns: Int): Double = segmentBytes(turns, SHORT_MESSAGE_BYTES)

    private fun segmentBytes(
        programs: Int,
        messageBytes: Int,
    ): Double {
        val records = (1..programs).flatMap { SampleData.programRecords(it, 1, messageBytes) }
        return Segments
            .encode(Segment(SampleData.home, "id", Epoch.FIRST, SampleData.numberRecords(records)))
            .size
            .toDouble()
    }

    private companion object {
        const val SHORT_MESSAGE_BYTES = 200
        const val PROGRAM_COUNT = 200
        const val PROGRAMS_PER_SEGMENT = 20
        const val ACCOUNT_COUNT = 10
    }
}
