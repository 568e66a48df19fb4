package sycamore.entry

import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import org.http4k.core.HttpHandler
import org.http4k.core.Request
import sycamore.daemon.Http
import sycamore.entry.EntryFixture.Companion.begun
import sycamore.entry.EntryFixture.Companion.chat
import sycamore.entry.EntryFixture.Companion.part
import sycamore.entry.EntryFixture.Companion.request
import sycamore.entry.EntryFixture.Companion.whole
import sycamore.links.Call
import sycamore.links.LinkException
import sycamore.links.Unsupported
import sycamore.model.Address
import java.io.ByteArrayOutputStream
import java.io.InputStream
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.http4k.core.Method as HttpMethod

/**
 * Guards against a truncated answer that its caller takes for a complete one, because the body of the response was
 * ended properly after the replies broke off. Reads the bytes on the connection, since clients hide how a
 * response ended.
 */
class ReplyStreamTest {
    private val interrupted =
        EntryFixture { call ->
            if (call !is Call) return@EntryFixture flowOf(Unsupported)
            flow {
                emit(begun(call))
                emit(part(call, 0, "Go"))
                throw LinkException("the link was lost", sent = true)
            }
        }

    private val complete =
        EntryFixture { call ->
            flow {
                emit(begun(call as Call))
                emit(part(call, 0, "Good"))
                emit(whole(call, 4))
            }
        }

    private fun exchange(
        handler: HttpHandler,
        request: Request,
    ): String =
        Http.serve(Address("127.0.0.1", 0), handler).use { server ->
            Socket("127.0.0.1", server.port()).use { socket ->
                val body = request.bodyString()
                val head =
                    "${request.method} ${request.uri} HTTP/1.1\r\nHost: t\r\nConnection: close\r\n" +
                        "Authorization: Bearer key\r\nContent-Length: ${body.length}\r\n\r\n"
                socket.getOutputStream().write((head + body).encodeToByteArray())
                readToEnd(socket.getInputStream())
            }
        }

    /** Returns all bytes up to the end of the connection or its reset. */
    private fun readToEnd(input: InputStream): String {
        val bytes = ByteArrayOutputStream()
        runCatching { input.copyTo(bytes) }
        return bytes.toByteArray().decodeToString()
    }

    @Test
    fun `a complete answer ends with the last chunk`() {
        val answer = exchange(complete.http, request(HttpMethod.GET, "/services/order-app/slots"))
        assertTrue(answer.endsWith("4\r\nGood\r\n0\r\n\r\n"), answer)
    }

    @Test
    fun `a plain answer that is interrupted lacks the last chunk`() {
        val answer = exchange(interrupted.http, request(HttpMethod.GET, "/services/order-app/slots"))
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer)
        assertTrue("2\r\nGo" in answer, answer)
        assertFalse("0\r\n\r\n" in answer, answer)
    }

    @Test
    fun `events that are interrupted end with an error and lack the last chunk`() {
        val answer = exchange(interrupted.http, chat(""","stream":true"""))
        val events = answer.lines().filter { it.startsWith("data: ") }
        assertEquals(3, events.size, answer)
        assertTrue("\"delta\":{\"content\":\"Go\"}" in events[1], answer)
        assertTrue(
            "\"detail\":\"host h1 cannot be reached; the link was lost\",\"outcome\":\"unknown\",\"error\":{" in
                events[2],
            answer,
        )
        assertFalse("[DONE]" in answer, answer)
        assertFalse("0\r\n\r\n" in answer, answer)
    }
}
