package sycamore.model

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import kotlin.test.assertTrue

/**
 * Guards against readers of settings files that throw on malformed input instead of reporting findings. The inputs
 * are random sequences of fragments of TOML, a valid file with random damage, and deep nesting, which overflows the
 * stack of the parser.
 */
class FuzzTest {
    private val validFile =
        """
        name = "order-app"
        kind = "service"
        idle_limit = "30m"
        [budget]
        tokens = 1000
        [[upstreams]]
        host = "h3"
        place = "svea-a"
        address = "127.0.0.1:7711"
        capacity = 16
        [[methods]]
        method = "GET"
        path = "/*"
        idempotent = true
        deadline = "5s"
        """.trimIndent()

    private val fragments =
        listOf(
            "[",
            "]",
            "[[",
            "{",
            "}",
            "=",
            "\"",
            "\"\"\"",
            "'",
            "\n",
            ".",
            ",",
            "-",
            "1e999",
            "nan",
            "true",
            "0x",
            "\\u0000",
        ) +
            validFile.lines()

    @Provide
    fun randomTexts(): Arbitrary<String> =
        Arbitraries
            .of(fragments)
            .list()
            .ofMaxSize(40)
            .map { it.joinToString("") }

    @Provide
    fun damagedFiles(): Arbitrary<String> {
        val cuts = Arbitraries.integers().between(0, validFile.length - 1)
        return cuts.list().ofSize(3).map { (from, to, at) ->
            val part = validFile.substring(minOf(from, to), maxOf(from, to))
            validFile.take(at) + part + validFile.drop(at + part.length / 2)
        }
    }

    @Property(seed = "20261204", tries = 500)
    fun `readers do not fail on random texts`(
        @ForAll("randomTexts") text: String,
    ) = readAll(text)

    @Property(seed = "20261204", tries = 500)
    fun `readers do not fail on damaged files`(
        @ForAll("damagedFiles") text: String,
    ) = readAll(text)

    @Property(seed = "20261204", tries = 1)
    fun `readers do not fail on deeply nested values`() = readAll("a = " + "[".repeat(100_000))

    private fun readAll(text: String) {
        listOf(ServiceFile.read("f", text), FleetFile.read("f", text)).forEach { checked ->
            if (checked is Checked.Invalid) {
                assertTrue(checked.findings.isNotEmpty())
                assertTrue(checked.findings == checked.findings.sorted())
                assertTrue(checked.findings.all { it.line >= 1 && it.column >= 1 }, checked.findings.toString())
            }
        }
    }
}
