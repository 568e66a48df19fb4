package sycamore.bench.load

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.TimeSource

/**
 * Guards against load runs that send too much or too little of a conversation, and against answers to a lost or mixed
 * history that are counted as correct.
 */
class ConversationTest {
    private val shape = ProgramShape(turns = 2, model = "wheel-7b", maxTokens = 8)

    @Test
    fun `a side that keeps no history receives the complete conversation`() {
        val conversation = Conversation(shape, keepsHistory = false)
        conversation.requestBody(1)
        conversation.addAnswer("yes")
        val body = conversation.requestBody(2).decodeToString()
        assertEquals(3, Regex("\"role\"").findAll(body).count())
    }

    @Test
    fun `a side that keeps the history receives only the new message`() {
        val conversation = Conversation(shape, keepsHistory = true)
        conversation.requestBody(1)
        conversation.addAnswer("yes")
        assertEquals(1, Regex("\"role\"").findAll(conversation.requestBody(2).decodeToString()).count())
    }

    @Test
    fun `an answer to another number of messages is an error`() {
        val conversation = Conversation(shape, keepsHistory = true)
        assertNull(conversation.findError(2, result("saw 3 messages digest 1f")))
        assertEquals(
            "answer to another history: expected 'saw 3 messages ', found 'saw 1 messages '",
            conversation.findError(2, result("saw 1 messages digest 1f")),
        )
    }

    private fun result(text: String) = CallResult(null, TimeSource.Monotonic.markNow(), null, text, null)
}
