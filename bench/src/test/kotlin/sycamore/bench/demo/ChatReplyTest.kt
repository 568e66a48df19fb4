package sycamore.bench.demo

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class ChatReplyTest {
    private val text = """data: {"choices":[{"delta":{"content":"saw "}}]}"""
    private val usage =
        """data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,""" +
            """"prompt_tokens_details":{"cached_tokens":4}}}"""

    @Test
    fun `events are put together`() {
        val body = listOf(text, text, usage, "data: [DONE]", "").joinToString("\n\n")
        assertEquals(ChatReply("saw saw ", null, 9, 4, 2), ChatReply.events(body))
    }

    @Test
    fun `events without their end are not an answer`() {
        val failure = assertFailsWith<IllegalStateException> { ChatReply.events("$text\n\n$usage\n\n") }
        assertEquals("expected [DONE] at the end of the events, found ${usage.removePrefix("data: ")}", failure.message)
    }
}
