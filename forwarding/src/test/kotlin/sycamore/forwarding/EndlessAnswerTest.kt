package sycamore.forwarding

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.collect
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.model.Address
import java.io.IOException
import java.io.OutputStream
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.test.fail
import kotlin.time.Duration.Companion.seconds

/** Upstreams that send bytes without end, over loopback. Each test ends by itself only if the answer is given up. */
class EndlessAnswerTest {
    private val listener = ServerSocket(0)
    private val client = UpstreamClient()
    private val written = AtomicLong()

    @AfterTest
    fun stop() {
        client.close()
        listener.close()
    }

    /** Answers each request with [begin], and then with [more] again and again until the connection is closed. */
    private fun serve(
        begin: String,
        more: String,
    ) {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: return@thread
                thread(isDaemon = true) { socket.use { flood(it, begin, more) } }
            }
        }
    }

    private fun flood(
        socket: Socket,
        begin: String,
        more: String,
    ) {
        readHead(socket)
        try {
            val out: OutputStream = socket.getOutputStream()
            out.write(begin.encodeToByteArray())
            val chunk = more.repeat(CHUNK / more.length).encodeToByteArray()
            while (true) {
                out.write(chunk)
                written.addAndGet(chunk.size.toLong())
            }
        } catch (_: IOException) {
            // The client has closed the connection.
        }
    }

    private fun readHead(socket: Socket) {
        val input = socket.getInputStream()
        var last = 0
        while (last != END_OF_HEAD) {
            last = (last shl Byte.SIZE_BITS) or input.read()
        }
    }

    private suspend fun send(): List<AnswerEvent> {
        val request = UpstreamRequest(Address("127.0.0.1", listener.localPort), "POST", "/a", emptyList(), ByteArray(0))
        val events = ArrayList<AnswerEvent>()
        withTimeoutOrNull(HANGS) { client.exchange(request).collect { events += it } }
            ?: fail("the answer was not given up")
        return events
    }

    private fun givenUp(
        begin: String,
        more: String,
    ) = runBlocking {
        serve(begin, more)
        assertFailsWith<UpstreamException> { send() }
    }

    @Test
    fun `a head with header lines without end is given up`() =
        givenUp("HTTP/1.1 200 OK\r\n", "X-Filler: aaaaaaaaaaaaaaaa\r\n")

    @Test
    fun `a head with one header line without end is given up`() = givenUp("HTTP/1.1 200 OK\r\nX-Filler: ", "a")

    @Test
    fun `a status line without end is given up`() = givenUp("HTTP/1.1 200 ", "a")

    @Test
    fun `interim answers without end are given up`() = givenUp("", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n")

    @Test
    fun `a chunk's extension without end is given up`() =
        givenUp("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=", "b")

    @Test
    fun `a chunk's length without end is given up`() =
        givenUp("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0")

    @Test
    fun `a trailer without end is given up`() =
        givenUp("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: aaaaaaaaaaaaaaaa\r\n")

    @Test
    fun `a body without end is read no faster than it is taken`() =
        runBlocking {
            serve("HTTP/1.1 200 OK\r\n\r\n", "a")
            val request =
                UpstreamRequest(Address("127.0.0.1", listener.localPort), "GET", "/a", emptyList(), ByteArray(0))
            var taken = 0L
            try {
                client.exchange(request).collect { event ->
                    if (event is AnswerEvent.Bytes) taken += event.bytes.size
                    if (taken > ENOUGH) throw EnoughException()
                }
            } catch (_: EnoughException) {
                // Whoever stops collecting gives the answer up.
            }
            assertTrue(taken < 2 * ENOUGH, "$taken bytes were handed over at once")
        }

    @Test
    fun `fifty heads without end at once are given up`() =
        runBlocking {
            serve("HTTP/1.1 200 OK\r\n", "X-Filler: aaaaaaaaaaaaaaaa\r\n")
            withContext(Dispatchers.Default) {
                coroutineScope {
                    List(50) { async { assertFailsWith<UpstreamException> { send() } } }.awaitAll()
                }
            }
            assertTrue(written.get() < 50 * MOST_EACH, "${written.get()} bytes were taken")
        }

    private class EnoughException : Exception()

    private companion object {
        const val CHUNK = 8 * 1024

        /** An answer that is not given up by then never is. */
        val HANGS = 20.seconds
        const val END_OF_HEAD = 0x0d0a0d0a
        const val ENOUGH = 1_000_000L

        /** What the buffers of two sockets hold, and the bound of a head. */
        const val MOST_EACH = 16L * 1024 * 1024
    }
}
