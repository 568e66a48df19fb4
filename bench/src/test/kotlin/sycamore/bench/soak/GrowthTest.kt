package sycamore.bench.soak

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class GrowthTest {
    @Test
    fun `a flat process does not grow`() {
        assertEquals(listOf(Growth("m0", 0.0, 0.0, 0.0)), Growth.of(run("m0") { 110.0 }))
    }

    @Test
    fun `a leak shows between the last two quarters`() {
        assertEquals(8.0, Growth.of(run("m0") { 100.0 + it }).single().residentMegabytes)
    }

    @Test
    fun `a restarted process is left out`() {
        val restarted = run("m1") { 110.0 }.mapIndexed { i, sample -> sample.copy(pid = if (i < 16) 1 else 2) }
        assertEquals(listOf("m0"), Growth.of(run("m0") { 110.0 } + restarted).map { it.process })
    }

    private fun run(
        process: String,
        resident: (Int) -> Double,
    ) = List(32) { SoakSample(it.seconds, process, 1, resident(it), 40.0, 60.0) }
}
