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

class StoreHttpTest {
    private fun freePort() = ServerSocket(0).use { it.localPort }

    @Test
    fun `an answer of several megabytes is read whole`() {
        val text = "x".repeat(5_000_000)
        val port = freePort()
        val server = Http.serve(Address("127.0.0.1", port), { Response(Status.OK).body(text) })
        val answer = StoreHttp.client()(Request(Method.GET, "http://127.0.0.1:$port/page"))
        assertEquals(text, answer.bodyString())
        server.stop()
    }

    @Test
    fun `a body, a status and headers pass both ways`() {
        val port = freePort()
        val server =
            Http.serve(Address("127.0.0.1", port), { request ->
                Response(
                    Status.PRECONDITION_FAILED,
                ).header("X-Echo", request.header("X-Sent")).body(request.bodyString())
            })
        val request = Request(Method.POST, "http://127.0.0.1:$port/").header("X-Sent", "1").body("{}")
        val answer = StoreHttp.client()(request)
        assertEquals(listOf(412, "1", "{}"), listOf(answer.status.code, answer.header("X-Echo"), answer.bodyString()))
        server.stop()
    }

    @Test
    fun `a refused connection is told as such`() {
        val answer = StoreHttp.client()(Request(Method.GET, "http://127.0.0.1:${freePort()}/"))
        assertEquals(Status.CONNECTION_REFUSED.code, answer.status.code)
    }
}
