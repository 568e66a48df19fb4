package sycamore.bench.load

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

/** Guards against calls and errors that are lost or counted twice when rounds of a load run are added up. */
class TallyTest {
    @Test
    fun `counts answers and errors by kind`() {
        val tally = Tally()
        tally.recordAnswer(10.milliseconds, 4.milliseconds, 8)
        tally.recordAnswer(20.milliseconds, null, 8)
        repeat(2) { tally.recordFailure("answer cut short") }
        tally.recordFailure("EOFException")
        assertEquals(2, tally.answers)
        assertEquals(3, tally.errors)
        assertEquals(mapOf("EOFException" to 1L, "answer cut short" to 2L), tally.errorsByKind)
        assertEquals(1, tally.firstTokenLatencies.totalCount)
        assertEquals(16, tally.tokens)
    }

    @Test
    fun `adds up rounds`() {
        val tally = Tally()
        val other = Tally()
        other.recordAnswer(10.milliseconds, 4.milliseconds, 8)
        other.recordFailure("EOFException")
        repeat(3) { tally.add(other) }
        assertEquals(3, tally.answers)
        assertEquals(3, tally.errors)
        assertEquals(10.0, tally.callLatencies.millisAt(50.0), absoluteTolerance = 0.01)
    }
}
