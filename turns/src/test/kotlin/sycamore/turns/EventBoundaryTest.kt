package sycamore.turns

import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a broken-off stream of events that is taken for a complete one, or the reverse. */
class EventBoundaryTest {
    @Test
    fun `each prefix of a stream is between events only after an empty line`() {
        for (lineEnd in listOf("\n", "\r\n")) {
            val stream =
                listOf("id: 1", "data: one", "", ": comment", "", "data: two", "").joinToString("") {
                    it +
                        lineEnd
                }
            val ends =
                stream.indices
                    .filter {
                        stream.startsWith(
                            lineEnd + lineEnd,
                            it,
                        )
                    }.map { it + 2 * lineEnd.length }
            for (length in 0..stream.length) {
                val boundary = EventBoundary()
                stream.take(length).forEach { boundary.read(byteArrayOf(it.code.toByte())) }
                assertEquals(length == 0 || length in ends, boundary.isBetweenEvents, "after $length of $stream")
            }
        }
    }
}
