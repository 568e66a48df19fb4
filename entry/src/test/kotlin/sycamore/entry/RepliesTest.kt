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

class RepliesTest {
    private val id = CallId("c1")
    private val trace = RequestTrace("GET", "/", CallerName("workshop"), TimeSource.Monotonic)

    private fun part(
        offset: Long,
        text: String,
        of: CallId = id,
    ) = Part(of, offset, text.encodeToByteArray())

    private fun whole(length: Long) = Whole(id, length, Answer(200, "text/plain", ByteArray(0)))

    private fun read(vararg replies: Message): List<Message> {
        val reader = Replies(id, flowOf(*replies), 1.minutes, trace)
        return List(replies.size) { reader.next() }
    }

    private fun assertUnknown(
        detail: String,
        reply: Message,
        status: Int = 502,
    ) = assertEquals(Refused(id, Refusal(Outcome.UNKNOWN, status, detail)), reply)

    @Test
    fun `bytes that came before are dropped`() {
        val parts = read(part(0, "abc"), part(0, "abcd"), part(2, "cd"), whole(4))
        assertEquals(listOf("abc", "d", ""), parts.dropLast(1).map { (it as Part).bytes.decodeToString() })
        assertIs<Whole>(parts.last())
    }

    @Test
    fun `a gap is not bridged`() {
        assertUnknown("bytes 1 to 2 of the answer are missing", read(part(0, "a"), part(2, "c")).last())
        assertUnknown("bytes 1 to 3 of the answer are missing", read(part(0, "a"), whole(3)).last())
    }

    @Test
    fun `another call's answer is not taken`() {
        val reply = read(part(0, "a", of = CallId("c2"))).single()
        assertUnknown("an answer to call c2 came instead of the one to c1", reply)
    }

    @Test
    fun `an end without a last reply is no answer`() {
        assertUnknown("the answer broke off", Replies(id, emptyFlow(), 1.minutes, trace).next())
    }

    @Test
    fun `a silent home ends the wait`() {
        val silent = flow<Message> { awaitCancellation() }
        assertUnknown("no reply for 20ms", Replies(id, silent, 20.milliseconds, trace).next(), status = 504)
    }
}
