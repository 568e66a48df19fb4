package sycamore.bench.demo

import org.http4k.core.Method
import org.http4k.core.Request
import sycamore.standins.engine.EngineServer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class TalkTest {
    private val messages = listOf(Said("system", "You book."), Said("user", "Hello"))

    private fun answer(messages: List<Said>): String =
        EngineServer().use { engine ->
            val body = Talk.body("wheel-7b", messages)
            ChatReply.whole(engine.handler(Request(Method.POST, "/v1/chat/completions").body(body)).bodyString()).text
        }

    @Test
    fun `the engine stand-in tells the history that the caller expects`() {
        val talk = Talk()
        messages.forEach(talk::add)
        assertTrue(answer(messages).startsWith(talk.expectedAnswer()))
    }

    @Test
    fun `a message that is missing or out of order is seen`() {
        val talk = Talk()
        messages.forEach(talk::add)
        assertEquals(false, answer(messages.drop(1)).startsWith(talk.expectedAnswer()))
        assertEquals(false, answer(messages.reversed()).startsWith(talk.expectedAnswer()))
    }
}
