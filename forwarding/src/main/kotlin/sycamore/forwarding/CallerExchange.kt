package sycamore.forwarding

import kotlinx.coroutines.suspendCancellableCoroutine
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

/** A body is longer than allowed. */
class BodyTooLargeException(
    limit: Long,
) : IOException("expected a body of at most $limit bytes, found more")

/** One request of a caller, and its answer as it is written. It has to be ended or cut off exactly once. */
class CallerExchange internal constructor(
    private val request: Request,
    private val response: Response,
    private val callback: Callback,
) {
    private val ended = AtomicBoolean()
    private val watch = CallerWatch(request.connectionMetaData.connection)

    /** The method. */
    val method: String get() = request.method

    /** Path and query as the caller sent them. */
    val target: String get() = request.httpURI.pathQuery

    /** The host that the caller asked for. */
    val host: String get() = request.headers["Host"].orEmpty()

    /** All headers. */
    val headers: List<Header> by lazy { request.headers.map { it.name to it.value.orEmpty() } }

    /** The status that was answered; null before that. */
    @Volatile
    var status: Int? = null
        private set

    /** Why the connection was closed without a whole answer; null if it was not. */
    @Volatile
    var cutReason: String? = null
        private set

    /** Whether the head of the answer was sent. */
    @Volatile
    var isBegun = false
        private set

    /** Reads the whole body; fails with [BodyTooLargeException] above [limit], or with [IOException] when it breaks off. */
    suspend fun readBody(limit: Long): ByteArray {
        if (request.length > limit) throw BodyTooLargeException(limit)
        val bytes = ByteArrayOutputStream()
        while (true) {
            val chunk = request.read()
            if (chunk == null) {
                awaitContent()
                continue
            }
            if (Content.Chunk.isFailure(chunk)) throw IOException("the body broke off: ${chunk.failure.message}")
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
        suspendCancellableCoroutine { waiting -> request.demand { waiting.resume(Unit) } }

    /** Calls [onGone] once if the caller closes its connection before the answer has ended. The body was read before. */
    fun watchCaller(onGone: () -> Unit) = watch.start(onGone)

    /** Sends [status] and [headers] at once. */
    suspend fun begin(
        status: Int,
        headers: List<Header>,
    ) {
        isBegun = true
        setHead(status, headers)
        write(last = false, EMPTY)
    }

    /** Sends [bytes] of the body. */
    suspend fun write(bytes: ByteArray) = write(last = false, bytes)

    /** Sends the end of the body, which makes the answer whole. */
    suspend fun end() {
        watch.stop()
        write(last = true, EMPTY)
        finish { callback.succeeded() }
    }

    /** Sends a whole answer. */
    suspend fun answer(
        status: Int,
        headers: List<Header>,
        body: ByteArray,
    ) {
        watch.stop()
        isBegun = true
        setHead(status, headers)
        response.headers.put("Content-Length", body.size.toLong())
        write(last = true, body)
        finish { callback.succeeded() }
    }

    /** Closes the connection, so that the caller sees the answer as cut off. */
    fun cut(reason: String) {
        watch.stop()
        finish {
            cutReason = reason
            callback.failed(EofException(reason))
            request.connectionMetaData.connection.endPoint
                .close()
        }
    }

    /** Lets the connection end behind this answer. */
    fun closeAfterwards() {
        response.headers.put("Connection", "close")
    }

    private fun setHead(
        status: Int,
        headers: List<Header>,
    ) {
        this.status = status
        response.status = status
        headers.forEach { (name, value) -> response.headers.add(name, value) }
    }

    private suspend fun write(
        last: Boolean,
        bytes: ByteArray,
    ): Unit =
        suspendCancellableCoroutine { waiting ->
            val written =
                Callback.from(
                    { waiting.resume(Unit) },
                    { failure -> waiting.resumeWithException(IOException("the caller is gone: ${failure.message}")) },
                )
            response.write(last, ByteBuffer.wrap(bytes), written)
        }

    private fun finish(act: () -> Unit) {
        if (ended.compareAndSet(false, true)) act()
    }

    private companion object {
        val EMPTY = ByteArray(0)
    }
}
