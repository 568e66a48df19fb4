package sycamore.bench.slopes

import sycamore.daemon.InForce
import sycamore.links.Message
import sycamore.model.Epoch
import sycamore.programs.Segment
import sycamore.programs.Segments
import sycamore.services.ListedHost
import sycamore.services.wireJson

/** Measures the processor time of single operations by calling the daemons' own classes. */
internal class CpuSlopes(
    private val count: Int,
) {
    /** Measures all slopes of processor time. */
    fun measure(): List<Slope> =
        listOf(
            Slope.measure("account_check_cpu", "entry", "us", "account", listOf(100, 200, 400), ::accountMicros),
            Slope.measure("configuration_cpu", "any", "us", "upstream", listOf(200, 400, 800), ::configMicros),
            Slope.measure("host_list_cpu", "any", "us", "member", listOf(200, 400, 800), ::hostListMicros),
            Slope.measure("segment_cpu", "host", "us", "turn", listOf(10, 20, 40), ::segmentMicros),
            Slope.measure("part_cpu", "any", "us", "part", listOf(8, 16, 32), ::partMicros),
        )

    private fun accountMicros(size: Int): Double {
        val callers = List(size, SampleData::caller)
        return ResourceMeter.cpuMicros(count) { callers.firstOrNull { it.matchesKey("another key") } }
    }

    private fun configMicros(size: Int): Double {
        val bytes = InForce.encode(SampleData.configuration(size, 0))
        return ResourceMeter.cpuMicros(count) { InForce.decode(bytes) }
    }

    private fun hostListMicros(size: Int): Double {
        val text = wireJson.encodeToString(List(size, SampleData::host))
        return ResourceMeter.cpuMicros(count) { wireJson.decodeFromString<List<ListedHost>>(text) }
    }

    private fun segmentMicros(turns: Int): Double {
        val records = SampleData.numberRecords((1..turns).flatMap { SampleData.programRecords(it, 1, MESSAGE_BYTES) })
        return ResourceMeter.cpuMicros(count) {
            Segments.encode(Segment(SampleData.home, "id", Epoch.FIRST, records))
        }
    }

    private fun partMicros(size: Int): Double {
        val parts = SampleData.parts(size)
        val cbor = SampleData.cbor
        val messages = Message.serializer()
        return ResourceMeter.cpuMicros(
            count,
        ) { parts.map { cbor.decodeFromByteArray(messages, cbor.encodeToByteArray(messages, it)) } }
    }

    private companion object {
        const val MESSAGE_BYTES = 200
    }
}
