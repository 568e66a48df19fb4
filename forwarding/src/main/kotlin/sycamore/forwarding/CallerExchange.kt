package sycamore.forwarding

import kotlinx.coroutines.suspendCancellableCoroutine
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.http.HttpHeaderValue
import org.eclipse.jetty.http.HttpVersion
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.io.EofException
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import sycamore.platform.Header
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Thrown when a request body is longer than allowed. */
class BodyTooLargeException(
    limit: Long,
) : IOException("expected a body of at most $limit bytes, found more")

/**
 * One request of a caller and its response. The response has to be completed or aborted; of several attempts, only the
 * first has an effect.
 *
 * @param isLast returns whether the connection closes after this response, which the response head then announces.
 */
class CallerExchange internal constructor(
    private val request: Request,
    private val response: Response,
    private val callback: Callback,
    private val isLast: () -> Boolean,
) {
    private val isFinished = AtomicBoolean()
    private val watch = CallerWatch(request.connectionMetaData.connection)

    /** The HTTP method. */
    val method: String get() = request.method

    /** The path and query as the caller sent them. */
    val target: String get() = request.httpURI.pathQuery

    /** The host that the caller named in the request; empty if it named none. */
    val host: String get() = request.headers["Host"].orEmpty()

    /** All headers of the request. */
    val headers: List<Header> by lazy { request.headers.map { it.name to it.value.orEmpty() } }

    /** The status of the response; null until the response head is set. */
    @Volatile
    var status: Int? = null
        private set

    /** Why the connection was closed before the response was complete; null if it was not. */
    @Volatile
    var abortReason: String? = null
        private set

    /** Whether the response head was sent, or is being sent. */
    @Volatile
    var isStarted = false
        private set

    /**
     * Reads the complete request body. Fails with [BodyTooLargeException] if it is longer than [limit] bytes, and with
     * [IOException] if the connection fails before its end.
     */
    suspend fun readBody(limit: Long): ByteArray {
        if (request.length > limit) throw BodyTooLargeException(limit)
        val bytes = ByteArrayOutputStream()
        while (true) {
            val chunk = request.read()
            if (chunk == null) {
                awaitContent()
                continue
            }
            if (Content.Chunk.isFailure(chunk)) throw IOException("reading the body failed: ${chunk.failure.message}")
            append(chunk, bytes)
            if (bytes.size() > limit) throw BodyTooLargeException(limit)
            if (chunk.isLast) return bytes.toByteArray()
        }
    }

    private fun append(
        chunk: Content.Chunk,
        bytes: ByteArrayOutputStream,
    ) {
        val buffer = chunk.byteBuffer
        val part = ByteArray(buffer.remaining())
        buffer.get(part)
        chunk.release()
        bytes.write(part)
    }

    private suspend fun awaitContent(): Unit =
        suspendCancellableCoroutine { continuation -> request.demand { continuation.resume(Unit) } }

    /**
     * Calls [onClosed] once if the caller closes its connection before the response is complete. The request body has
     * to be read before.
     */
    fun watchCaller(onClosed: () -> Unit) = watch.start(onClosed)

    /**
     * Sends the response head, without waiting for the first bytes of the body. The body is sent in chunks even if the
     * connection closes after it. Otherwise its close would be the only end of the body, and an aborted response would
     * look complete.
     */
    suspend fun sendHead(
        status: Int,
        headers: List<Header>,
    ) {
        isStarted = true
        setHead(status, headers)
        if (request.connectionMetaData.httpVersion == HttpVersion.HTTP_1_1) {
            response.headers.put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED)
        }
        write(last = false, EMPTY)
    }

    /** Sends [bytes] of the response body. */
    suspend fun write(bytes: ByteArray) = write(last = false, bytes)

    /** Sends the end of the body, which completes the response. */
    suspend fun complete() {
        watch.stop()
        write(last = true, EMPTY)
        finish { callback.succeeded() }
    }

    /** Sends a complete response. */
    suspend fun respond(
        status: Int,
        headers: List<Header>,
        body: ByteArray,
    ) {
        watch.stop()
        isStarted = true
        setHead(status, headers)
        response.headers.put("Content-Length", body.size.toLong())
        write(last = true, body)
        finish { callback.succeeded() }
    }

    /** Closes the connection, so that the caller sees that the response is incomplete. */
    fun abort(reason: String) {
        watch.stop()
        finish {
            abortReason = reason
            callback.failed(EofException(reason))
            request.connectionMetaData.connection.endPoint
                .close()
        }
    }

    private fun setHead(
        status: Int,
        headers: List<Header>,
    ) {
        this.status = status
        response.status = status
        headers.forEach { (name, value) -> response.headers.add(name, value) }
        if (isLast()) response.headers.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE)
    }

    private suspend fun write(
        last: Boolean,
        bytes: ByteArray,
    ): Unit =
        suspendCancellableCoroutine { continuation ->
            val written =
                Callback.from(
                    { continuation.resume(Unit) },
                    { failure -> continuation.resumeWithException(IOException("writing failed: ${failure.message}")) },
                )
            response.write(last, ByteBuffer.wrap(bytes), written)
        }

    private fun finish(action: () -> Unit) {
        if (isFinished.compareAndSet(false, true)) action()
    }

    private companion object {
        val EMPTY = ByteArray(0)
    }
}
