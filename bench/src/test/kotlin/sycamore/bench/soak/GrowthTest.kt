package sycamore.bench.soak

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Guards against a soak run that overlooks a leak, or takes the start of a process for one. */
class GrowthTest {
    @Test
    fun `a process with constant usage has no growth`() {
        assertEquals(listOf(Growth("m0", 0.0, 0.0, 0.0)), Growth.ofProcesses(run("m0") { 110.0 }))
    }

    @Test
    fun `a leak is measured between the last two quarters`() {
        assertEquals(8.0, Growth.ofProcesses(run("m0") { 100.0 + it }).single().residentMegabytes)
    }

    @Test
    fun `a process that was restarted is excluded`() {
        val restarted = run("m1") { 110.0 }.mapIndexed { i, sample -> sample.copy(pid = if (i < 16) 1 else 2) }
        assertEquals(listOf("m0"), Growth.ofProcesses(run("m0") { 110.0 } + restarted).map { it.process })
    }

    private fun run(
        process: String,
        resident: (Int) -> Double,
    ) = List(32) { SoakSample(it.seconds, process, 1, resident(it), 40.0, 60.0) }
}
