package sycamore.bench.slopes

import sycamore.daemon.InForce
import sycamore.links.Message
import sycamore.model.Epoch
import sycamore.programs.Segment
import sycamore.programs.Segments
import sycamore.services.ListedHost
import sycamore.services.wireJson

/** Processor time of single steps, measured on the daemons' own classes. */
internal class CpuSlopes(
    private val count: Int,
) {
    /** All slopes of this kind. */
    fun measure(): List<Slope> =
        listOf(
            Slope.measure("account_check_cpu", "entry", "us", "account", listOf(100, 200, 400), ::accounts),
            Slope.measure("configuration_cpu", "any", "us", "upstream", listOf(200, 400, 800), ::configuration),
            Slope.measure("host_list_cpu", "any", "us", "member", listOf(200, 400, 800), ::hostList),
            Slope.measure("segment_cpu", "host", "us", "turn", listOf(10, 20, 40), ::segment),
            Slope.measure("part_cpu", "any", "us", "part", listOf(8, 16, 32), ::parts),
        )

    private fun accounts(size: Int): Double {
        val callers = List(size, Samples::caller)
        return Meter.cpuMicros(count) { callers.firstOrNull { it.matchesKey("another key") } }
    }

    private fun configuration(size: Int): Double {
        val bytes = InForce.encode(Samples.configuration(size, 0))
        return Meter.cpuMicros(count) { InForce.decode(bytes) }
    }

    private fun hostList(size: Int): Double {
        val text = wireJson.encodeToString(List(size, Samples::host))
        return Meter.cpuMicros(count) { wireJson.decodeFromString<List<ListedHost>>(text) }
    }

    private fun segment(turns: Int): Double {
        val records = Samples.numbered((1..turns).flatMap { Samples.records(it, 1, MESSAGE_BYTES) })
        return Meter.cpuMicros(count) { Segments.encode(Segment(Samples.home, "id", Epoch.FIRST, records)) }
    }

    private fun parts(size: Int): Double {
        val parts = Samples.parts(size)
        val cbor = Samples.cbor
        val messages = Message.serializer()
        return Meter.cpuMicros(
            count,
        ) { parts.map { cbor.decodeFromByteArray(messages, cbor.encodeToByteArray(messages, it)) } }
    }

    private companion object {
        const val MESSAGE_BYTES = 200
    }
}
