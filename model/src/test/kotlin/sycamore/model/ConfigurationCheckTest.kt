package sycamore.model

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/**
 * Guards against a configuration that is published although its parts contradict each other: references to unknown
 * places or callers, hosts or models in two services, regions without a connection.
 */
class ConfigurationCheckTest {
    private val key = "019301d687f618e1e58b95b5ac98a02ff1f6ed60531bf6671f3449aa37adbf8c"

    private fun fleet(text: String) = FleetFile.read("fleet.toml", text)

    private fun service(
        file: String,
        host: String,
        place: String,
        port: Int,
        more: String = "",
    ): Checked.Valid<Service> {
        val upstream = "[[upstreams]]\nhost=\"$host\"\nplace=\"$place\"\naddress=\"10.0.0.1:$port\"\ncapacity=1\n"
        val text = "name=\"${file.removeSuffix(".toml")}\"\nkind=\"model\"\n${upstream}models=[\"m\"]\n$more"
        return assertIs<Checked.Valid<Service>>(ServiceFile.read(file, text))
    }

    @Test
    fun `services are checked against the fleet and each other`() {
        val fleet =
            assertIs<Checked.Valid<Fleet>>(fleet("[[places]]\nname=\"svea-a\"\nregion=\"svea\"\n"))
        val services =
            listOf(
                service("a.toml", "h1", "svea-a", 1, "[[limits]]\ncaller=\"nobody\"\n"),
                service("b.toml", "h1", "svea-b", 1),
            )
        assertEquals(
            listOf(
                "a.toml:10:1: found caller 'nobody', expected a caller of fleet.toml",
                "b.toml:4:1: found host 'h1', which service 'a' has, expected a host in one service",
                "b.toml:5:1: found place 'svea-b', expected one of 'svea-a'",
                "b.toml:6:1: found address 10.0.0.1:1, which service 'a' has, expected an address in one service",
                "b.toml:8:1: found model 'm', which service 'a' has, expected a model in one service",
            ),
            ConfigurationCheck.check(fleet, services).map { it.toString() },
        )
    }

    @Test
    fun `contradictory places, links and callers of the fleet are found`() {
        val text =
            """
            [[places]]
            name = "svea-a"
            region = "svea"
            [[places]]
            name = "svea-a"
            region = "gota"
            [[links]]
            from = "svea"
            to = "norr"
            latency = "12ms"
            [[callers]]
            name = "c"
            salt = "x"
            key_hash = "$key"
            [[callers]]
            name = "c"
            salt = ""
            key_hash = "12"
            """.trimIndent()
        assertEquals(
            listOf(
                "fleet.toml:5:1: found place 'svea-a' again, expected each place once",
                "fleet.toml:6:1: found region 'gota' without a way to 'svea', expected [[links]] that join all regions",
                "fleet.toml:9:1: found region 'norr', expected a region that one of [[places]] names",
                "fleet.toml:16:1: found caller 'c' again, expected each caller once",
                "fleet.toml:17:1: found no salt, expected random text",
                "fleet.toml:18:1: found \"12\", expected 64 hex digits, as from 'sycamorectl key'",
            ),
            assertIs<Checked.Invalid>(fleet(text)).findings.map { it.toString() },
        )
    }
}
