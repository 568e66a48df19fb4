package sycamore.soak

import sycamore.platform.Header
import java.io.Closeable
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.time.Duration
import kotlin.time.TimeSource

/** What became of one request on a [CallerConnection]. */
internal class CallResult(
    val response: ReceivedResponse?,
    val isTimeout: Boolean,
)

/** A connection of a caller, which is kept for further requests while the other end allows it. */
internal class CallerConnection(
    address: InetSocketAddress,
    connectTimeout: Duration,
) : Closeable {
    private val socket = Socket().apply { connect(address, connectTimeout.inWholeMilliseconds.toInt()) }
    private val input = socket.getInputStream().buffered()
    private val wire = HttpWire(input)

    /** Whether bytes have arrived although no request is waiting. */
    val hasUnrequestedBytes: Boolean get() = input.available() > 0

    /** Whether the connection may carry another request. */
    var isReusable = true
        private set

    /** Sends a request and reads the response for up to [timeout] between two pieces of it. */
    fun call(
        path: String,
        headers: List<Header>,
        body: String,
        timeout: Duration,
    ): CallResult {
        val bytes = body.encodeToByteArray()
        val framing = "Content-Length" to bytes.size.toString()
        isReusable = false
        val begin = TimeSource.Monotonic.markNow()
        return try {
            socket.soTimeout = timeout.inWholeMilliseconds.toInt()
            socket.getOutputStream().write(HttpWire.encode("POST $path HTTP/1.1", headers + framing, bytes))
            val response = wire.readResponse()
            isReusable = response != null &&
                response.isComplete &&
                response.head.header("Connection")?.contains("close", ignoreCase = true) != true &&
                (response.head.header("Content-Length") ?: response.head.header("Transfer-Encoding")) != null
            CallResult(response, isTimeout = begin.elapsedNow() > timeout * LATE_SHARE)
        } catch (_: SocketTimeoutException) {
            CallResult(null, isTimeout = true)
        } catch (_: IOException) {
            CallResult(null, isTimeout = false)
        }
    }

    override fun close() = socket.close()

    private companion object {
        /** The share of a call's time after which daemons may end it because its deadline is near. */
        const val LATE_SHARE = 0.6
    }
}
