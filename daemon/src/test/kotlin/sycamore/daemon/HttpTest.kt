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

class HttpTest {
    private val anyPort = Address("127.0.0.1", 0)

    private fun get(handler: HttpHandler): Response {
        val server = Http.serve(anyPort, handler)
        return Http.client()(Request(Method.GET, "http://127.0.0.1:${server.port()}/"))
    }

    @Test
    fun `a body is read to its end`() {
        val response = get { Response(Status.CREATED).header("x-a", "1").body("some".byteInputStream()) }
        assertEquals(201, response.status.code)
        assertEquals("1", response.header("x-a"))
        assertEquals("some", response.bodyString())
    }

    @Test
    fun `a body that breaks off is an error to the client`() {
        val response = get { Response(Status.OK).body(Breaking()) }
        assertFailsWith<IOException> { response.body.stream.readAllBytes() }
    }

    @Test
    fun `an address that is taken is named`() {
        val handler: HttpHandler = { Response(Status.OK) }
        val taken = Address("127.0.0.1", Http.serve(anyPort, handler).port())
        val failure = assertFailsWith<IOException> { Http.serve(taken, handler) }
        assertEquals("cannot listen on $taken: Address already in use", failure.message)
    }

    private class Breaking : InputStream() {
        private var left = 10

        override fun read(): Int = if (left-- > 0) 'a'.code else throw IOException("broken")

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
