package sycamore.bench.fleet

import sycamore.model.Address
import sycamore.model.Checked
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Guards against a parser that does not match the `layout.toml` of `bin/fleet`, and against unclear findings. */
class FleetLayoutTest {
    private val directory = File("fleet")

    @Test
    fun `the addresses and processes of a layout are parsed`() {
        val text =
            """
            key_value = "127.0.0.1:25000"
            entries = ["127.0.0.1:25100"]
            engines = ["127.0.0.1:25500", "127.0.0.1:25501", ]
            orders = []
            [[processes]]
            name = "standins"
            role = "standins"
            [[processes]]
            name = "m0"
            role = "host"
            http = "127.0.0.1:25300"
            """.trimIndent()
        val layout = assertIs<Checked.Valid<FleetLayout>>(FleetLayout.read(directory, text)).value
        assertEquals(listOf(Address("127.0.0.1", 25_100)), layout.entries)
        assertEquals(2, layout.engines.size)
        assertEquals(FleetProcess("m0", Role.HOST, Address("127.0.0.1", 25_300)), layout.processes[1])
        assertEquals(null, layout.processes[0].http)
    }

    @Test
    fun `an invalid address is reported with its line`() {
        val text = "key_value = \"127.0.0.1:25000\"\nentries = [\"here\"]\n"
        val findings = assertIs<Checked.Invalid>(FleetLayout.read(directory, text)).findings
        assertEquals(
            "layout.toml:2:1: found \"here\", expected addresses such as \"10.0.0.7:7400\"",
            findings.single().toString(),
        )
    }
}
