package sycamore.model

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import kotlin.test.assertTrue

class FuzzTest {
    private val good =
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

    private val pieces =
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
            good.lines()

    @Provide
    fun soups(): Arbitrary<String> =
        Arbitraries
            .of(pieces)
            .list()
            .ofMaxSize(40)
            .map { it.joinToString("") }

    @Provide
    fun damaged(): Arbitrary<String> {
        val cuts = Arbitraries.integers().between(0, good.length - 1)
        return cuts.list().ofSize(3).map { (from, to, at) ->
            val part = good.substring(minOf(from, to), maxOf(from, to))
            good.take(at) + part + good.drop(at + part.length / 2)
        }
    }

    @Property(seed = "20261204", tries = 500)
    fun `no text makes a reader fail`(
        @ForAll("soups") text: String,
    ) = readAll(text)

    @Property(seed = "20261204", tries = 500)
    fun `no damage to a good file makes a reader fail`(
        @ForAll("damaged") text: String,
    ) = readAll(text)

    @Property(seed = "20261204", tries = 1)
    fun `deep nesting is a finding`() = readAll("a = " + "[".repeat(100_000))

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
