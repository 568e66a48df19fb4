package sycamore.bench.slopes

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** Guards against wrong slopes in the capacity figures, and against fits of too few sizes to have a standard error. */
class LineFitTest {
    @Test
    fun `points on a line have no error`() {
        val fit = LineFit.fit(listOf(1, 2, 4).map { Point(it.toDouble(), 3.0 * it + 5) })
        assertEquals(3.0, fit.slope, absoluteTolerance = 1e-9)
        assertEquals(5.0, fit.intercept, absoluteTolerance = 1e-9)
        assertEquals(0.0, fit.standardError, absoluteTolerance = 1e-9)
    }

    @Test
    fun `the error is the standard error of the slope`() {
        val fit = LineFit.fit(listOf(Point(0.0, 0.0), Point(1.0, 2.0), Point(2.0, 1.0)))
        assertEquals(0.5, fit.slope, absoluteTolerance = 1e-9)
        assertEquals(0.866025, fit.standardError, absoluteTolerance = 1e-6)
    }

    @Test
    fun `two sizes are too few`() {
        val e = assertFailsWith<IllegalArgumentException> { LineFit.fit(listOf(Point(1.0, 1.0), Point(2.0, 2.0))) }
        assertEquals("expected points of at least 3 sizes, found 2", e.message)
    }
}
