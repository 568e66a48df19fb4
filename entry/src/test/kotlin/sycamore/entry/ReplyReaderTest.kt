package sycamore.entry

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.emptyFlow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import sycamore.links.Message
import sycamore.links.Part
import sycamore.links.Refused
import sycamore.links.Whole
import sycamore.model.CallId
import sycamore.model.CallerName
import sycamore.programs.Answer
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/**
 * Guards against answers with repeated, missing or foreign bytes, which arise when the home of a program changes while
 * its answer is sent, and against a caller that waits forever for a home that does not respond.
 */
class ReplyReaderTest {
    private val id = CallId("c1")
    private val trace = RequestTrace("GET", "/", CallerName("workshop"), TimeSource.Monotonic)

    private fun part(
        offset: Long,
        text: String,
        of: CallId = id,
    ) = Part(of, offset, text.encodeToByteArray())

    private fun whole(length: Long) = Whole(id, length, Answer(200, "text/plain", ByteArray(0)))

    private fun read(vararg replies: Message): List<Message> {
        val reader = ReplyReader(id, flowOf(*replies), 1.minutes, trace)
        return List(replies.size) { reader.next() }
    }

    private fun assertUnknown(
        detail: String,
        reply: Message,
        status: Int = 502,
    ) = assertEquals(Refused(id, Refusal(Outcome.UNKNOWN, status, detail)), reply)

    @Test
    fun `bytes that were received before are dropped`() {
        val parts = read(part(0, "abc"), part(0, "abcd"), part(2, "cd"), whole(4))
        assertEquals(listOf("abc", "d", ""), parts.dropLast(1).map { (it as Part).bytes.decodeToString() })
        assertIs<Whole>(parts.last())
    }

    @Test
    fun `a gap in the answer is refused`() {
        assertUnknown("bytes 1 to 2 of the answer are missing", read(part(0, "a"), part(2, "c")).last())
        assertUnknown("bytes 1 to 3 of the answer are missing", read(part(0, "a"), whole(3)).last())
    }

    @Test
    fun `the answer to another call is refused`() {
        val reply = read(part(0, "a", of = CallId("c2"))).single()
        assertUnknown("an answer to call c2 came instead of the one to c1", reply)
    }

    @Test
    fun `replies that end without a last reply are refused`() {
        assertUnknown("the answer broke off", ReplyReader(id, emptyFlow(), 1.minutes, trace).next())
    }

    @Test
    fun `the wait for a home that does not respond ends`() {
        val unresponsive = flow<Message> { awaitCancellation() }
        assertUnknown("no reply for 20ms", ReplyReader(id, unresponsive, 20.milliseconds, trace).next(), status = 504)
    }
}
