package sycamore.standins.engine

import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import sycamore.services.EngineWire
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.time.TestTimeSource

/**
 * Guards against a simulated engine that hides faults of its clients: its answers have to show lost history, and
 * it must not run a repeated call again.
 */
class EngineServerTest {
    private val server = EngineServer()

    @AfterTest
    fun close() = server.close()

    private fun chat(
        id: String,
        vararg messages: String,
        extra: String = "",
        at: EngineServer = server,
    ): Response {
        val list = messages.joinToString { """{"role":"user","content":"$it"}""" }
        val body = """{"model":"","stream":true$extra,"messages":[$list]}"""
        return at.handler(
            Request(Method.POST, EngineWire.CHAT)
                .header(EngineWire.CALL_HEADER, id)
                .header(EngineWire.PROGRAM_HEADER, "p")
                .body(body),
        )
    }

    private fun textOf(response: Response): String =
        Regex(""""content":"([^"]*)"""").findAll(response.bodyString()).joinToString("") { it.groupValues[1] }

    @Test
    fun `the answer tells what history was seen and repeats itself`() {
        val first = textOf(chat("1", "a", "b"))
        assertContains(first, "saw 2 messages digest ")
        assertEquals(first, textOf(chat("2", "a", "b")))
        assertNotEquals(first, textOf(chat("3", "a", "c")))
    }

    @Test
    fun `a call is resumed from an offset and not run again`() {
        val complete = textOf(chat("1", "a"))
        val rest = server.handler(Request(Method.GET, "${EngineWire.CALLS}/1").query("offset", "7"))
        assertEquals(complete.drop(7), textOf(rest))
        assertEquals(complete, textOf(chat("1", "a")))
    }

    @Test
    fun `a required tool is called`() {
        val extra = ""","tool_choice":"required","tools":[{"type":"function","function":{"name":"charge"}}]"""
        val body = chat("1", "a", extra = extra).bodyString()
        assertContains(body, """"name":"charge"""")
        assertContains(body, """"finish_reason":"tool_calls"""")
    }

    /** By the clock of the machine, the call ended before its cancellation on a machine that was busy. */
    @Test
    fun `a cancelled call cannot be resumed and an unknown one is not found`() =
        EngineServer(time = TestTimeSource()).use { paused ->
            val delete = { id: String -> paused.handler(Request(Method.DELETE, "${EngineWire.CALLS}/$id")).status }
            assertEquals(Status.NOT_FOUND, delete("1"))
            chat("1", "a", at = paused)
            assertEquals(Status.NO_CONTENT, delete("1"))
            assertEquals(Status.GONE, paused.handler(Request(Method.GET, "${EngineWire.CALLS}/1")).status)
        }

    @Test
    fun `an engine that is down refuses`() {
        server.handler(Request(Method.PUT, "/health").body("down"))
        assertEquals(Status.SERVICE_UNAVAILABLE, chat("1", "a").status)
    }
}
