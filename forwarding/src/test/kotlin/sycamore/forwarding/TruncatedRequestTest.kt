package sycamore.forwarding

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import sycamore.model.Address
import sycamore.routing.CallerLimits
import sycamore.standins.ConnectionEnd
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against a request whose body was received in part and is forwarded as the complete one. */
class TruncatedRequestTest {
    private val truncated =
        mapOf(
            "before the body" to "Content-Length: 5\r\n\r\n",
            "within a body with a length" to "Content-Length: 5\r\n\r\nabcd",
            "within a chunk size" to "Transfer-Encoding: chunked\r\n\r\n5",
            "within a chunk" to "Transfer-Encoding: chunked\r\n\r\n5\r\nabc",
            "after a chunk" to "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
            "within the last chunk" to "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0",
        )

    @TestFactory
    fun `reading a body fails if the connection ends before it`(): List<DynamicTest> =
        ConnectionEnd.entries.flatMap { end ->
            truncated.map { (name, rest) -> dynamicTest("$end $name") { assertBodyFails(rest, end) } }
        }

    private fun assertBodyFails(
        rest: String,
        end: ConnectionEnd,
    ) {
        val address = Address("127.0.0.1", ServerSocket(0).use { it.localPort })
        val body = CompletableDeferred<Result<ByteArray>>()
        val serve: ServeCaller = { exchange ->
            body.complete(
                try {
                    Result.success(exchange.readBody(BODY_LIMIT))
                } catch (e: IOException) {
                    Result.failure(e)
                },
            )
        }
        CallerServer(CallerServer.listen(address), { limits }, Dispatchers.Default, serve).start().use {
            Socket(address.ip, address.port).use { socket ->
                socket.getOutputStream().write("POST /a HTTP/1.1\r\nHost: a\r\n$rest".encodeToByteArray())
                if (end == ConnectionEnd.RESET) socket.setSoLinger(true, 0)
            }
            val result = runBlocking { withTimeout(END_TIMEOUT) { body.await() } }
            assertTrue(result.isFailure, "found ${result.getOrNull()?.decodeToString()}")
        }
    }

    private companion object {
        const val BODY_LIMIT = 1_000L
        val END_TIMEOUT = 20.seconds
        val limits = CallerLimits(16_384, BODY_LIMIT, headerTimeout = 3.seconds, idleTimeout = 15.seconds)
    }
}
