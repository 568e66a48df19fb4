package sycamore.bench.load

import kotlinx.coroutines.suspendCancellableCoroutine
import org.eclipse.jetty.client.BytesRequestContent
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Response
import org.eclipse.jetty.client.Result
import org.eclipse.jetty.http.HttpField
import org.eclipse.jetty.util.thread.QueuedThreadPool
import sycamore.model.Address
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlin.time.TimeSource
import kotlin.time.TimeSource.Monotonic.ValueTimeMark

/**
 * The result of one call.
 *
 * @property firstTokenAt when the first content of the answer arrived, or null if none did.
 * @property endedAt when the call ended, whether it was answered or failed.
 * @property program the program's id in the response, or null.
 * @property text the text of the answer.
 * @property failure the kind of error, or null if the answer is complete.
 */
internal class CallResult(
    val firstTokenAt: ValueTimeMark?,
    val endedAt: ValueTimeMark,
    val program: String?,
    val text: String,
    val failure: String?,
) {
    /** Number of tokens, counted as words of the answer: each token of the stand-in engine is one word. */
    val tokens: Int get() = text.count { it == ' ' }
}

/** Sends requests for streamed chat completions without blocking a thread for each call. */
internal class ChatClient(
    connections: Int,
) : AutoCloseable {
    private val http = HttpClient()

    init {
        http.executor = QueuedThreadPool(MAX_CLIENT_THREADS).apply { isDaemon = true }
        http.maxConnectionsPerDestination = connections
        http.maxRequestsQueuedPerDestination = MAX_QUEUED_REQUESTS
        http.isFollowRedirects = false
        http.start()
    }

    /** Sends [body] to [target] as turn [turn] of [program], which is null for the first turn. */
    suspend fun call(
        target: Address,
        body: ByteArray,
        program: String?,
        turn: Int,
    ): CallResult =
        suspendCancellableCoroutine { continuation ->
            val answer = StreamedAnswer()
            http
                .newRequest("http://$target$PATH")
                .method("POST")
                .headers { headers ->
                    headers.add(AUTHORIZATION)
                    headers.add("sycamore-turn", turn.toString())
                    headers.add("sycamore-append", "true")
                    program?.let { headers.add("sycamore-program", it) }
                }.body(BytesRequestContent("application/json", body))
                .timeout(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .onResponseContent { _, buffer -> answer.addBytes(buffer) }
                .send { result -> continuation.resume(answer.toResult(result)) }
        }

    override fun close() = http.stop()

    private companion object {
        const val PATH = "/v1/chat/completions"
        const val MAX_CLIENT_THREADS = 16
        const val MAX_QUEUED_REQUESTS = 100_000
        const val CALL_TIMEOUT_SECONDS = 30L
        val AUTHORIZATION = HttpField("authorization", "Bearer demo-key")
    }
}

/** Collects the server-sent events of one answer. */
internal class StreamedAnswer {
    private var firstTokenAt: ValueTimeMark? = null
    private var bytes = ByteArray(INITIAL_BUFFER_BYTES)
    private var size = 0

    /** Adds the next bytes of the body. */
    fun addBytes(buffer: ByteBuffer) {
        val count = buffer.remaining()
        if (size + count > bytes.size) bytes = bytes.copyOf(maxOf(bytes.size * 2, size + count))
        buffer.get(bytes, size, count)
        size += count
        if (firstTokenAt == null && count > 0) firstTokenAt = TimeSource.Monotonic.markNow()
    }

    /** Returns the call's result, for which Jetty has reported the end of the exchange as [result]. */
    fun toResult(result: Result): CallResult {
        val endedAt = TimeSource.Monotonic.markNow()
        val events = String(bytes, 0, size, Charsets.UTF_8)
        return CallResult(
            firstTokenAt,
            endedAt,
            result.response?.headers?.get("sycamore-program"),
            contentText(events),
            describeFailure(events, result.failure, result.response),
        )
    }

    private fun describeFailure(
        events: String,
        cause: Throwable?,
        response: Response?,
    ): String? =
        when {
            cause != null -> cause::class.simpleName ?: "failure"
            response == null -> "no response"
            response.status != STATUS_OK -> describeRefusal(response)
            !isComplete(events) -> "answer cut short"
            else -> null
        }

    private fun describeRefusal(response: Response): String {
        val outcome = response.headers.get("sycamore-outcome") ?: "no outcome"
        return "status ${response.status} ($outcome)"
    }

    private fun isComplete(events: String): Boolean = events.endsWith(DONE_EVENT) && events.contains(FINISH_REASON)

    /** The text of all content deltas. Escapes are not decoded, since the answers of the stand-ins hold none. */
    private fun contentText(events: String): String =
        buildString {
            var position = events.indexOf(CONTENT_FIELD)
            while (position >= 0) {
                val start = position + CONTENT_FIELD.length
                val end = events.indexOf('"', start)
                if (end < 0) return@buildString
                append(events, start, end)
                position = events.indexOf(CONTENT_FIELD, end)
            }
        }

    private companion object {
        const val INITIAL_BUFFER_BYTES = 2048
        const val STATUS_OK = 200
        const val DONE_EVENT = "data: [DONE]\n\n"
        const val FINISH_REASON = "\"finish_reason\":\""
        const val CONTENT_FIELD = "\"content\":\""
    }
}
