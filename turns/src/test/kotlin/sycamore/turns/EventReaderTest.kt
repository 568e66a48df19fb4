package sycamore.turns

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.Size
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/**
 * Guards against a wrong history in a program's next prompt, which comes about when events that are cut off or split
 * over several reads are kept in part, twice or not at all.
 */
class EventReaderTest {
    private fun read(text: String) = EventReader().apply { read(text.encodeToByteArray()) }

    @Test
    fun `the data of each complete event is kept with a line feed`() {
        val reader = read("id: 1\ndata: one\n\nid: 2\ndata: two words\n\n")
        assertEquals("one\ntwo words\n", reader.output.decodeToString())
        assertEquals(2, reader.events)
        assertTrue(reader.isBetweenEvents)
    }

    @Test
    fun `an event that is cut off is not kept`() {
        val reader = read("data: one\n\nid: 2\ndata: tw")
        assertEquals("one\n", reader.output.decodeToString())
        assertFalse(reader.isBetweenEvents)
        assertFalse(read("data: one\n").isBetweenEvents)
    }

    @Test
    fun `other fields, comments and carriage returns are skipped`() {
        val reader = read(": hello\r\nx-weight-versions:3\r\nid: 1\r\ndata:one\r\ndatax: no\r\n\r\n")
        assertEquals("one\n", reader.output.decodeToString())
    }

    @Test
    fun `an event without data is not counted`() = assertEquals(0, read("id: 1\n\n: still here\n\n").events)

    @Test
    fun `several data lines form one event`() =
        assertEquals("a\nb\n", read("data: a\ndata: b\n\n").output.decodeToString())

    @Property(tries = 200, seed = "4711")
    fun `the result does not depend on how the stream is split`(
        @ForAll @Size(max = 20) cuts: List<Int>,
    ) {
        val bytes = "id: 1\ndata: one\n\nx: y\nid: 2\ndata: two words\n\ndata: 3\n\n".encodeToByteArray()
        val reader = EventReader()
        var from = 0
        for (to in (cuts.map { Math.floorMod(it, bytes.size) } + bytes.size).sorted()) {
            reader.read(bytes.copyOfRange(from, to))
            from = to
        }
        assertEquals("one\ntwo words\n3\n", reader.output.decodeToString())
    }
}
