package sycamore.daemon

import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import sycamore.model.Address
import java.io.IOException
import java.io.InputStream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/**
 * Tests the HTTP server and client with real connections. Guards against truncated bodies that look complete: a server
 * that closes the body normally after a read error makes the client accept the part that it received.
 */
class HttpTest {
    private val anyPort = Address("127.0.0.1", 0)

    private fun get(handler: HttpHandler): Response {
        val server = Http.serve(anyPort, handler)
        return Http.client()(Request(Method.GET, "http://127.0.0.1:${server.port()}/"))
    }

    @Test
    fun `status, headers and the complete body reach the client`() {
        val response = get { Response(Status.CREATED).header("x-a", "1").body("some".byteInputStream()) }
        assertEquals(201, response.status.code)
        assertEquals("1", response.header("x-a"))
        assertEquals("some", response.bodyString())
    }

    @Test
    fun `a response whose body fails while being read is an error to the client`() {
        val response = get { Response(Status.OK).body(FailingStream()) }
        assertFailsWith<IOException> { response.body.stream.readAllBytes() }
    }

    @Test
    fun `the error for an address in use names the address`() {
        val handler: HttpHandler = { Response(Status.OK) }
        val inUse = Address("127.0.0.1", Http.serve(anyPort, handler).port())
        val failure = assertFailsWith<IOException> { Http.serve(inUse, handler) }
        assertEquals("cannot listen on $inUse: Address already in use", failure.message)
    }

    private class FailingStream : InputStream() {
        private var remaining = 10

        override fun read(): Int = if (remaining-- > 0) 'a'.code else throw IOException("broken")

        override fun read(
            target: ByteArray,
            offset: Int,
            length: Int,
        ): Int {
            target[offset] = read().toByte()
            return 1
        }
    }
}
