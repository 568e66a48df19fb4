package sycamore.daemon

import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Http4kServer
import sycamore.model.Address
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against a server that accepts requests beyond its limits, or refuses them without a readable reason, and
 * against overload that makes the probes of load balancers fail.
 */
class RequestGuardTest {
    private val entered = CountDownLatch(1)
    private val release = CountDownLatch(1)
    private val limits = HttpLimits(headerBytes = 512, connections = 2, requests = 1)

    private val handler: HttpHandler = { request ->
        if (request.uri.path == "/wait") {
            entered.countDown()
            release.await()
        }
        Response(Status.OK).body("ok")
    }

    private fun serve(use: (Http4kServer) -> Unit) = Http.serve(Address("127.0.0.1", 0), handler, limits).use(use)

    private fun Http4kServer.open() = Socket("127.0.0.1", port())

    private fun Socket.send(
        path: String,
        version: String = "HTTP/1.1",
        more: String = "Connection: close\r\n",
    ) = apply {
        getOutputStream().write("GET $path $version\r\nHost: x\r\n$more\r\n".encodeToByteArray())
    }

    /** Reads the response to its end; returns the status and the line of the body. */
    private fun Socket.readResponse(): Pair<String, String> {
        val lines = getInputStream().readAllBytes().decodeToString().lines()
        return lines.first().split(' ')[1] to lines.first { it.startsWith("found") || it == "ok" }
    }

    @Test
    fun `requests with too long headers are refused`() =
        serve { server ->
            val response =
                server
                    .open()
                    .send(
                        "/",
                        more = "Connection: close\r\nX-Long: ${"x".repeat(600)}\r\n",
                    ).readResponse()
            assertEquals(
                "431" to "found a request line and headers of more than 512 bytes, expected at most that",
                response,
            )
        }

    @Test
    fun `requests of HTTP versions without chunked bodies are refused, except probes`() =
        serve { server ->
            val expected = "505" to "found an HTTP version before 1.1, expected 1.1"
            assertEquals(expected, server.open().send("/", "HTTP/1.0").readResponse())
            assertEquals("200" to "ok", server.open().send("/healthz", "HTTP/1.0").readResponse())
        }

    @Test
    fun `requests above the limit are refused while one is in progress, except probes`() =
        serve { server ->
            val first = server.open().send("/wait")
            entered.await()
            assertEquals("503" to "found 1 requests in progress", server.open().send("/").readResponse())
            assertEquals("200" to "ok", server.open().send("/readyz").readResponse())
            release.countDown()
            assertEquals("200" to "ok", first.readResponse())
        }

    @Test
    fun `requests on connections above the limit are refused`() =
        serve { server ->
            val first = server.open().send("/wait")
            entered.await()
            val idle = server.open().send("/healthz", more = "Connection: keep-alive\r\n")
            idle.getInputStream().read()
            val refused = server.open().send("/")
            assertEquals("503" to "found more than 2 open connections", refused.readResponse())
            release.countDown()
            assertEquals("200" to "ok", first.readResponse())
            idle.close()
        }
}
