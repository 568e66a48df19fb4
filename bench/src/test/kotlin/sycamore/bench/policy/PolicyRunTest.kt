package sycamore.bench.policy

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes

/**
 * Guards against comparisons that differ between runs, and against programs that never end, for example because an
 * engine crashed or cache events were lost. Either makes the ratios between policies meaningless.
 */
class PolicyRunTest {
    private val fleet = PolicyFleet.all.getValue("falgverket")

    private fun results(faults: PolicyFaults) = PolicyComparison(fleet, seed = 1, 2.minutes, faults).run(load = 0.8)

    @Test
    fun `the same seed gives the same result and every program ends under each policy`() {
        val first = results(PolicyFaults.NONE)
        assertEquals(first, results(PolicyFaults.NONE))
        assertEquals(1, first.map { it.programs }.toSet().size)
        assertTrue(first.first().programs > 0, "no program was counted")
    }

    @Test
    fun `every program ends even if an engine loses its calls and cache events are lost`() {
        val faulty = listOf(PolicyFaults.CRASH, PolicyFaults.GAPS).flatMap(::results)
        assertEquals(1, faulty.map { it.programs }.toSet().size)
        assertTrue(faulty.none { it.refusedRunning > 0 }, "a turn of a running program was refused")
    }

    @Test
    fun `the last line holds the expected ratios`() {
        val names = Regex("""(\w+)=""").findAll(PolicyText.ratios(results(PolicyFaults.NONE))).map { it.groupValues[1] }
        val expected =
            listOf("least_loaded", "sticky").flatMap { name -> listOf("mean", "p95", "waste").map { "${it}_vs_$name" } }
        assertEquals(expected + "bytes_vs_least_loaded", names.toList())
    }
}
