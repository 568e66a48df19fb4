package sycamore.programs

import sycamore.model.Epoch
import sycamore.programs.ProgramStateTest.Companion.id
import sycamore.programs.ProgramStateTest.Companion.started
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a log that cannot be read back: segments decode differently, or their keys sort out of order. */
class SegmentsTest {
    @Test
    fun `a segment is unchanged after encoding and decoding`() {
        val segment = Segment(id.origin, "attempt", Epoch.FIRST, listOf(NumberedRecord(1, 1, Epoch.FIRST, started)))

        assertEquals(segment, Segments.decode(Segments.encode(segment)))
    }

    @Test
    fun `keys sort by sequence number`() {
        val keys = listOf(2L, 10L, 1L).map { Segments.key(id.origin, it) }.sorted()

        assertEquals(listOf(1L, 2L, 10L), keys.map(Segments::sequence))
    }
}
