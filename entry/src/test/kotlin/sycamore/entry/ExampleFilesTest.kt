package sycamore.entry

import sycamore.daemon.DaemonSettings
import sycamore.daemon.HttpLimits
import sycamore.daemon.TlsSettings
import sycamore.model.Address
import sycamore.model.Checked
import sycamore.model.FleetFile
import sycamore.model.HostName
import sycamore.model.PlaceName
import sycamore.model.ServiceFile
import sycamore.standins.StandinSettings
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against example files in `conf` that the daemons refuse, since operators copy them, and against a finding in
 * settings that hides the others.
 */
class ExampleFilesTest {
    private val conf = File("../conf")

    private fun <T> load(
        path: String,
        read: (String, String) -> Checked<T>,
    ): T {
        val checked = read(path, File(conf, path).readText())
        return assertIs<Checked.Valid<T>>(checked, "$checked").value
    }

    private fun files(directory: String): List<String> =
        File(conf, directory)
            .list()
            .orEmpty()
            .sorted()
            .map { "$directory/$it" }

    @Test
    fun `the example with every setting is read with the values that it shows`() {
        val expected =
            DaemonSettings(
                name = HostName("e1"),
                place = PlaceName("svea-a"),
                listen = Address("127.0.0.1", 7400),
                http = Address("127.0.0.1", 7500),
                keyValue = Address("127.0.0.1", 7600),
                hostList = Address("127.0.0.1", 7601),
                limits = HttpLimits(),
                tls = TlsSettings(File("certs/e1.pem"), File("certs/e1.key"), 10.seconds),
            )
        assertEquals(EntrySettings(expected, entries = 3), load("daemons/entry-all.toml", EntrySettings::read))
    }

    @Test
    fun `all examples are valid`() {
        val (entries, hosts) = files("daemons").partition { it.startsWith("daemons/e") }
        assertTrue(entries.size >= 2 && hosts.size >= 3, "$entries $hosts")
        entries.forEach { load(it, EntrySettings::read) }
        hosts.forEach { load(it, DaemonSettings::read) }
        listOf("services", "kumasi").forEach { directory ->
            load("$directory/${FleetFile.FILE_NAME}", FleetFile::read)
            (files(directory) - "$directory/${FleetFile.FILE_NAME}").forEach { load(it, ServiceFile::read) }
        }
        load("standins.toml", StandinSettings::read)
    }

    @Test
    fun `all findings are reported together`() {
        val text = "name = \"e 1\"\nplac = \"svea-a\"\n[limits]\nbody = \"9MiB\"\nrequest = 5\n[tls]\nkey = 1\n"
        val findings = assertIs<Checked.Invalid>(EntrySettings.read("e.toml", text)).findings
        val expected =
            listOf(
                "e.toml:1:1: found \"e 1\", expected a name of 1 to 64 letters, digits, '-' and '_' for 'name'",
                "e.toml:2:1: found the unknown key 'plac', expected 'place'",
                "e.toml:4:1: found 9437184 bytes, expected 1 to 7340032 bytes for 'limits.body'",
                "e.toml:5:1: found the unknown key 'limits.request', expected 'limits.requests'",
                "e.toml:7:1: found 1, expected text for 'tls.key'",
            )
        assertEquals(expected, findings.map { "$it" }.filter { "no '" !in it })
        val missing = listOf("host_list", "http", "key_value", "listen", "place", "tls.certificate")
        assertEquals(
            missing,
            findings
                .map {
                    it.found
                }.filter { it.startsWith("no '") }
                .map { it.drop(4).dropLast(1) }
                .sorted(),
        )
    }
}
