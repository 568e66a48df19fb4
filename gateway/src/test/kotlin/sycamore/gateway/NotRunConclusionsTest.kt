package sycamore.gateway

import kotlinx.coroutines.runBlocking
import sycamore.model.Address
import sycamore.platform.Header
import sycamore.platform.SampleDocuments
import sycamore.standins.SocketRequest
import java.io.InputStream
import java.io.OutputStream
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a call that must run once and is concluded to be not run although it ran, is running, or may run later. */
class NotRunConclusionsTest {
    private lateinit var gateway: SocketGateway

    @AfterTest
    fun stop() = gateway.close()

    /** Guards against TWICE: an upstream that ran the call and answered it also states that it was not run. */
    @Test
    fun `a success that states that the call was not run is not a refusal`() {
        gateway = upstreams { request, out -> out.write(SocketGateway.answer(request, 200, NOT_RUN)) }
        assertEquals(502, SocketGateway.status(gateway.call("a")))
        assertEquals(listOf("a"), gateway.received)
    }

    @Test
    fun `a refusal whose statement is repeated, in another case or empty is a refusal`() {
        listOf(listOf(NOT_RUN, NOT_RUN), listOf("x-nOT-rUN" to "1"), listOf("X-Not-Run" to "")).forEach { statement ->
            gateway =
                upstreams { request, out -> out.write(SocketGateway.answer(request, 503, *statement.toTypedArray())) }
            assertEquals(503, SocketGateway.status(gateway.call("a")), "$statement")
            assertEquals(listOf("a", "a"), gateway.received)
            gateway.close()
        }
    }

    @Test
    fun `a statement in the body or in a trailer is not a refusal`() {
        gateway =
            upstreams { request, out ->
                val id = request.header("X-Request-Id")
                val head = "HTTP/1.1 503 Status\r\nX-Request-Id: $id\r\nX-Server-Stamp: s\r\nTrailer: X-Not-Run\r\n"
                out.write("${head}Transfer-Encoding: chunked\r\n\r\n0\r\nX-Not-Run: 1\r\n\r\n".encodeToByteArray())
            }
        assertEquals(502, SocketGateway.status(gateway.call("a")))
        assertEquals(listOf("a"), gateway.received)
    }

    /** Guards against a call that fails because the rest of a refusal never ends. */
    @Test
    fun `a call goes on to the next upstream while the body of a refusal goes on`() {
        gateway =
            upstreams { request, out ->
                val id = request.header("X-Request-Id")
                out.write("HTTP/1.1 503 Status\r\nX-Request-Id: $id\r\nX-Not-Run: 1\r\n\r\n".encodeToByteArray())
                while (true) out.write(ByteArray(1_000))
            }
        assertEquals(503, SocketGateway.status(gateway.call("a")))
        assertEquals(listOf("a", "a"), gateway.received)
    }

    @Test
    fun `a refusal that ends within its head is not a refusal`() {
        gateway =
            upstreams { request, out ->
                val refusal = SocketGateway.refusal(request).decodeToString()
                out.write(refusal.substringBefore("\r\n\r\n").encodeToByteArray())
                out.close()
            }
        assertEquals(502, SocketGateway.status(gateway.call("a")))
        assertEquals(listOf("a"), gateway.received)
    }

    /** Guards against a caller's header that an upstream returns. */
    @Test
    fun `a caller that sends the upstream's statements gets the answer of the upstream`() {
        val headers = SampleDocuments.callHeaders("a") + NOT_RUN + ("X-Server-Stamp" to "caller")
        gateway = upstreams { request, out -> out.write(SocketGateway.success(request)) }
        assertEquals(200, SocketGateway.status(gateway.call("a", headers)))
        assertEquals(listOf("a"), gateway.received)
    }

    /** Guards against an id that is removed because the caller lists its header as one of the connection. */
    @Test
    fun `a caller that names the id's header in its Connection header is served`() {
        gateway = upstreams { request, out -> out.write(SocketGateway.success(request)) }
        val response = gateway.call("a", SampleDocuments.callHeaders("a") + ("Connection" to "X-Request-Id"))
        assertEquals(listOf("a"), gateway.received)
        assertEquals(200, SocketGateway.status(response))
    }

    /** Guards against a call that runs under one id while its answer is expected to name another one. */
    @Test
    fun `a call with two ids is not run`() {
        gateway = upstreams { request, out -> out.write(SocketGateway.success(request)) }
        val response = gateway.call("a", SampleDocuments.callHeaders("a") + SampleDocuments.callHeaders("b").first())
        assertEquals(emptyList(), gateway.received)
        assertEquals(400, SocketGateway.status(response))
    }

    /** Guards against a promise to a caller whose call is running. */
    @Test
    fun `a call that is running when its connection or the server ends is not refused`() {
        gateway =
            upstreams { request, out ->
                thread { gateway.stopServing() }
                Thread.sleep(RUN_MILLIS)
                out.write(SocketGateway.success(request))
            }
        val response = gateway.call("a")
        assertTrue(SocketGateway.status(response) !in setOf(408, 421, 429, 503), response)
        assertEquals(1, gateway.received.size)
    }

    /** Guards against a second request that is hidden in the body of the first one. */
    @Test
    fun `a call with a length and chunks is not run`() {
        gateway = upstreams { request, out -> out.write(SocketGateway.success(request)) }
        val headers = SampleDocuments.callHeaders("a") + ("Transfer-Encoding" to "chunked")
        assertEquals(400, SocketGateway.status(gateway.call("a", headers, body = "0\r\n\r\n")))
        assertEquals(emptyList(), gateway.received)
    }

    /** Guards against bytes of another request where the rest of a body is due, after a refusal before its end. */
    @Test
    fun `a call after a refusal that came before the end of a body is read as it was sent`() {
        val heads = CopyOnWriteArrayList<String>()
        ServerSocket(0).use { listener ->
            thread(isDaemon = true) { generateSequence { listener.acceptOrNull() }.forEach { serveSlowly(it, heads) } }
            gateway = SocketGateway()
            runBlocking { gateway.register("slow", Address("127.0.0.1", listener.localPort)) }
            val statuses = List(6) { SocketGateway.status(gateway.call("c$it", body = "x".repeat(BODY_BYTES))) }
            assertTrue(statuses.all { it == 503 }, "$statuses")
            assertTrue(heads.isNotEmpty() && heads.all { it.startsWith("POST /calls/1 HTTP/1.1") }, "$heads")
            assertEquals(heads.distinct(), heads)
        }
    }

    private fun ServerSocket.acceptOrNull(): Socket? =
        try {
            accept()
        } catch (_: SocketException) {
            null
        }

    /** Refuses each request once its head is read, and reads its body after that. */
    private fun serveSlowly(
        socket: Socket,
        heads: MutableList<String>,
    ) = thread(isDaemon = true) {
        val input = socket.getInputStream().buffered()
        while (true) {
            val head = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
            if (head.isEmpty()) break
            val id = head.first { it.startsWith("X-Request-Id: ") }
            heads += "${head.first()} $id"
            val answer = "HTTP/1.1 503 Full\r\n$id\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            socket.getOutputStream().write(answer.encodeToByteArray())
            Thread.sleep(PAUSE_MILLIS)
            input.readNBytes(BODY_BYTES)
        }
    }

    private fun InputStream.readLine(): String? {
        val line = StringBuilder()
        while (!line.endsWith("\r\n")) line.append((read().takeIf { it >= 0 } ?: return null).toChar())
        return line.removeSuffix("\r\n").toString()
    }

    private fun upstreams(respond: (SocketRequest, OutputStream) -> Unit) = SocketGateway(respond, respond)

    private companion object {
        val NOT_RUN: Header = SampleDocuments.notRunHeader
        const val RUN_MILLIS = 300L
        const val PAUSE_MILLIS = 30L

        /** More than the buffers of a connection on loopback hold. */
        const val BODY_BYTES = 900_000
    }
}
