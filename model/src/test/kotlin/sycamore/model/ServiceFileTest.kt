package sycamore.model

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against service files that are misread, and against invalid files that are accepted or reported with a wrong
 * position, so that an operator looks for the fault in the wrong line.
 */
class ServiceFileTest {
    private fun findings(text: String): List<String> =
        assertIs<Checked.Invalid>(ServiceFile.read("s.toml", text)).findings.map { it.toString() }

    @Test
    fun `a complete file is read`() {
        val text =
            """
            name = "assist-llm"
            kind = "model"
            idle_limit = "10m"
            deadline = "90s"
            models = ["wheel-7b"]

            [budget]
            tokens = 1000
            calls = 20
            elapsed = "1h"

            [weights]
            latency = 1
            waste = 0.5

            [[upstreams]]
            host = "h1"
            place = "svea-a"
            address = "10.0.0.7:7400"
            capacity = 8
            models = ["wheel-7b"]
            memory = "64MiB"
            checks_fencing = true

            [[limits]]
            caller = "workshop"
            rate = 2.5
            concurrency = 3
            tokens_per_minute = 9000
            """.trimIndent()
        val service = assertIs<Checked.Valid<Service>>(ServiceFile.read("s.toml", text)).value
        assertEquals(10.minutes, service.idleLimit)
        assertEquals(90.seconds, service.contract("POST", "/any").deadline)
        assertEquals(AccountLimit(CallerName("workshop"), 2.5, 3, 9000), service.limit(CallerName("workshop")))
        assertEquals(67_108_864, service.upstreams.single().memory)
        assertEquals(8, service.capacity)
    }

    @Test
    fun `all findings are reported together, sorted by position`() {
        val text =
            """
            name = "assist llm"
            kind = "modle"
            idle_limits = "10m"

            [[upstreams]]
            host = "h1"
            place = "svea-a"
            address = "wheel.example:7400"
            capacity = 0
            """.trimIndent()
        assertEquals(
            listOf(
                "s.toml:1:1: found \"assist llm\", expected a name of 1 to 64 letters, digits, '-' and '_' for 'name'",
                "s.toml:2:1: found \"modle\", expected \"model\" or \"service\" for 'kind'",
                "s.toml:3:1: found the unknown key 'idle_limits', expected 'idle_limit'",
                "s.toml:8:1: found \"wheel.example:7400\", expected an address such as \"10.0.0.7:7400\" " +
                    "for 'upstreams[0].address'",
                "s.toml:9:1: found 0, expected a whole number from 1 to 100000 for 'upstreams[0].capacity'",
            ),
            findings(text),
        )
    }

    @Test
    fun `contradictory values are found`() {
        val text =
            """
            name = "order-app"
            kind = "service"
            models = ["wheel-7b"]

            [[upstreams]]
            host = "h1"
            place = "svea-a"
            address = "10.0.0.7:7400"
            capacity = 1

            [[upstreams]]
            host = "h1"
            place = "svea-a"
            address = "10.0.0.7:7400"
            capacity = 1

            [[methods]]
            method = "*"
            path = "/*"
            idempotent = true

            [[methods]]
            method = "POST"
            path = "/deposits"
            idempotent = false
            """.trimIndent()
        assertEquals(
            listOf(
                "s.toml:3:1: found model 'wheel-7b' without an upstream, expected an upstream whose models name it",
                "s.toml:12:1: found host 'h1' again, expected each host once",
                "s.toml:14:1: found address 10.0.0.7:7400 again, expected each address once",
                "s.toml:24:1: found 'POST /deposits' after '* /*', " +
                    "expected the narrower path first, since the first that fits holds",
            ),
            findings(text),
        )
    }

    @Test
    fun `durations and weights out of range are found`() {
        val texts = listOf("deadline = \"99999999999999d\"", "weights = { latency = inf }", "weights = { waste = nan }")
        texts.forEach { line ->
            val findings = findings("name = \"a\"\nkind = \"service\"\n$line")
            assertEquals("s.toml:3", findings.first().substringBeforeLast(": found").substringBeforeLast(':'), line)
        }
    }
}
