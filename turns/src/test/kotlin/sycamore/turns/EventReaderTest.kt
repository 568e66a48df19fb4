package sycamore.turns

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.Size
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EventReaderTest {
    private fun read(text: String) = EventReader().apply { read(text.encodeToByteArray()) }

    @Test
    fun `keeps the data of each whole event and a line feed`() {
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
    fun `other fields, comments and carriage returns are passed over`() {
        val reader = read(": hello\r\nx-weight-versions:3\r\nid: 1\r\ndata:one\r\ndatax: no\r\n\r\n")
        assertEquals("one\n", reader.output.decodeToString())
    }

    @Test
    fun `an event without data counts for nothing`() = assertEquals(0, read("id: 1\n\n: still here\n\n").events)

    @Test
    fun `several data lines make one event`() =
        assertEquals("a\nb\n", read("data: a\ndata: b\n\n").output.decodeToString())

    @Property(tries = 200, seed = "4711")
    fun `pieces of any size give the same as the whole`(
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
