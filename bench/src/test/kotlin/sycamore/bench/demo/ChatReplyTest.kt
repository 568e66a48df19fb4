package sycamore.bench.demo

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** Guards against a demo that accepts a truncated stream, or that loses text or usage of a streamed answer. */
class ChatReplyTest {
    private val text = """data: {"choices":[{"delta":{"content":"saw "}}]}"""
    private val usage =
        """data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,""" +
            """"prompt_tokens_details":{"cached_tokens":4}}}"""

    @Test
    fun `an answer is assembled from its events`() {
        val body = listOf(text, text, usage, "data: [DONE]", "").joinToString("\n\n")
        assertEquals(ChatReply("saw saw ", null, 9, 4, 2), ChatReply.fromEventStream(body))
    }

    @Test
    fun `events without a final event are rejected`() {
        val failure = assertFailsWith<IllegalStateException> { ChatReply.fromEventStream("$text\n\n$usage\n\n") }
        assertEquals("expected [DONE] at the end of the events, found ${usage.removePrefix("data: ")}", failure.message)
    }
}
