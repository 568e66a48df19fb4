package sycamore.bench.demo

import org.http4k.core.Method
import org.http4k.core.Request
import sycamore.standins.engine.EngineServer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against a demo that no longer detects a wrong history: the caller and the engine stand-in have to compute the
 * same digest of the messages, and a different one when a message is missing or out of order.
 */
class TranscriptTest {
    private val messages = listOf(DemoMessage("system", "You book."), DemoMessage("user", "Hello"))

    private fun answer(messages: List<DemoMessage>): String =
        EngineServer().use { engine ->
            val body = Transcript.body("wheel-7b", messages)
            ChatReply
                .fromJson(engine.handler(Request(Method.POST, "/v1/chat/completions").body(body)).bodyString())
                .text
        }

    @Test
    fun `the answer of the engine stand-in begins as the caller expects`() {
        val transcript = Transcript()
        messages.forEach(transcript::add)
        assertTrue(answer(messages).startsWith(transcript.expectedAnswer()))
    }

    @Test
    fun `a message that is missing or out of order is detected`() {
        val transcript = Transcript()
        messages.forEach(transcript::add)
        assertEquals(false, answer(messages.drop(1)).startsWith(transcript.expectedAnswer()))
        assertEquals(false, answer(messages.reversed()).startsWith(transcript.expectedAnswer()))
    }
}
