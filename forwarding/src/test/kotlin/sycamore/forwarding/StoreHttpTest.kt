package sycamore.forwarding

import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import sycamore.daemon.Http
import sycamore.model.Address
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against a client that truncates the long pages of the store, drops parts of requests or responses, or reports
 * a store that is down like one that fails.
 */
class StoreHttpTest {
    private fun freePort() = ServerSocket(0).use { it.localPort }

    @Test
    fun `a response of several megabytes is read completely`() {
        val text = "x".repeat(5_000_000)
        val port = freePort()
        val server = Http.serve(Address("127.0.0.1", port), { Response(Status.OK).body(text) })
        val response = StoreHttp()(Request(Method.GET, "http://127.0.0.1:$port/page"))
        assertEquals(text, response.bodyString())
        server.stop()
    }

    @Test
    fun `bodies, statuses and headers are passed in both directions`() {
        val port = freePort()
        val server =
            Http.serve(Address("127.0.0.1", port), { request ->
                Response(Status.PRECONDITION_FAILED)
                    .header("X-Echo", request.header("X-Sent"))
                    .body(request.bodyString())
            })
        val request = Request(Method.POST, "http://127.0.0.1:$port/").header("X-Sent", "1").body("{}")
        val reply = StoreHttp()(request)
        assertEquals(listOf(412, "1", "{}"), listOf(reply.status.code, reply.header("X-Echo"), reply.bodyString()))
        server.stop()
    }

    @Test
    fun `a refused connection is reported as such`() {
        val response = StoreHttp()(Request(Method.GET, "http://127.0.0.1:${freePort()}/"))
        assertEquals(Status.CONNECTION_REFUSED.code, response.status.code)
    }
}
