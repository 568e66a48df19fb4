package sycamore.bench.policy

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes

class PolicyRunTest {
    private val fleet = PolicyFleet.all.getValue("falgverket")

    private fun results(faults: PolicyFaults) = PolicyComparison(fleet, seed = 1, 2.minutes, faults).run(load = 0.8)

    @Test
    fun `one seed gives one result and every program ends under each policy`() {
        val first = results(PolicyFaults.NONE)
        assertEquals(first, results(PolicyFaults.NONE))
        assertEquals(1, first.map { it.programs }.toSet().size)
        assertTrue(first.first().programs > 0, "no program was counted")
    }

    @Test
    fun `every program ends although an engine loses its calls and events are lost`() {
        val faulty = listOf(PolicyFaults.CRASH, PolicyFaults.GAPS).flatMap(::results)
        assertEquals(1, faulty.map { it.programs }.toSet().size)
        assertTrue(faulty.none { it.refusedRunning > 0 }, "a turn of a running program was refused")
    }

    @Test
    fun `the last line gives the ratios that are asked for`() {
        val names = Regex("""(\w+)=""").findAll(PolicyText.ratios(results(PolicyFaults.NONE))).map { it.groupValues[1] }
        val expected =
            listOf("least_loaded", "sticky").flatMap { arm -> listOf("mean", "p95", "waste").map { "${it}_vs_$arm" } }
        assertEquals(expected + "bytes_vs_least_loaded", names.toList())
    }
}
