package sycamore.bench.load

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.TimeSource

class ConversationTest {
    private val shape = ProgramShape(turns = 2, model = "wheel-7b", maxTokens = 8)

    @Test
    fun `a side that keeps no history gets the whole conversation`() {
        val conversation = Conversation(shape, keepsHistory = false)
        conversation.ask(1)
        conversation.answered("yes")
        val body = conversation.ask(2).decodeToString()
        assertEquals(3, Regex("\"role\"").findAll(body).count())
    }

    @Test
    fun `a side that keeps the history gets the new message`() {
        val conversation = Conversation(shape, keepsHistory = true)
        conversation.ask(1)
        conversation.answered("yes")
        assertEquals(1, Regex("\"role\"").findAll(conversation.ask(2).decodeToString()).count())
    }

    @Test
    fun `an answer to another number of messages is a fault`() {
        val conversation = Conversation(shape, keepsHistory = true)
        assertNull(conversation.fault(2, result("saw 3 messages digest 1f")))
        assertEquals(
            "answer to another history: expected 'saw 3 messages ', found 'saw 1 messages '",
            conversation.fault(2, result("saw 1 messages digest 1f")),
        )
    }

    private fun result(text: String) = CallResult(null, TimeSource.Monotonic.markNow(), null, text, null)
}
