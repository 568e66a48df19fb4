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
 * How one call ended.
 *
 * @property firstToken when the first content arrived, or null if none did.
 * @property program the program's id in the response, or null.
 * @property text of the answer.
 * @property failure kind of the error, or null for a whole answer.
 */
internal class CallResult(
    val firstToken: ValueTimeMark?,
    val ended: ValueTimeMark,
    val program: String?,
    val text: String,
    val failure: String?,
) {
    /** Words of the answer; the stand-in engine's tokens are words. */
    val tokens: Int get() = text.count { it == ' ' }
}

/** Sends streamed chat completions without blocking a thread for each. */
internal class ChatClient(
    connections: Int,
) : AutoCloseable {
    private val http = HttpClient()

    init {
        http.executor = QueuedThreadPool(MAX_THREADS).apply { isDaemon = true }
        http.maxConnectionsPerDestination = connections
        http.maxRequestsQueuedPerDestination = MAX_QUEUED
        http.isFollowRedirects = false
        http.start()
    }

    /** Calls [target] with [body], as turn [turn] of [program], which is null for the first. */
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
                .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .onResponseContent { _, buffer -> answer.take(buffer) }
                .send { result -> continuation.resume(answer.end(result)) }
        }

    override fun close() = http.stop()

    private companion object {
        const val PATH = "/v1/chat/completions"
        const val MAX_THREADS = 16
        const val MAX_QUEUED = 100_000
        const val TIMEOUT_SECONDS = 30L
        val AUTHORIZATION = HttpField("authorization", "Bearer demo-key")
    }
}

/** Collects the server-sent events of one answer. */
internal class StreamedAnswer {
    private var firstToken: ValueTimeMark? = null
    private var bytes = ByteArray(INITIAL_BYTES)
    private var size = 0

    /** Takes the next bytes of the body. */
    fun take(buffer: ByteBuffer) {
        val count = buffer.remaining()
        if (size + count > bytes.size) bytes = bytes.copyOf(maxOf(bytes.size * 2, size + count))
        buffer.get(bytes, size, count)
        size += count
        if (firstToken == null && count > 0) firstToken = TimeSource.Monotonic.markNow()
    }

    /** The call's result once Jetty has reported [result]. */
    fun end(result: Result): CallResult {
        val ended = TimeSource.Monotonic.markNow()
        val events = String(bytes, 0, size, Charsets.UTF_8)
        return CallResult(
            firstToken,
            ended,
            result.response?.headers?.get("sycamore-program"),
            textOf(events),
            failure(events, result.failure, result.response),
        )
    }

    private fun failure(
        events: String,
        cause: Throwable?,
        response: Response?,
    ): String? =
        when {
            cause != null -> cause::class.simpleName ?: "failure"
            response == null -> "no response"
            response.status != OK -> refusal(response)
            !isWhole(events) -> "answer cut short"
            else -> null
        }

    private fun refusal(response: Response): String {
        val outcome = response.headers.get("sycamore-outcome") ?: "no outcome"
        return "status ${response.status} ($outcome)"
    }

    private fun isWhole(events: String): Boolean = events.endsWith(END) && events.contains(FINISH)

    /** The text of all content deltas; the stand-ins' answers hold no escaped characters. */
    private fun textOf(events: String): String =
        buildString {
            var at = events.indexOf(CONTENT)
            while (at >= 0) {
                val from = at + CONTENT.length
                val to = events.indexOf('"', from)
                if (to < 0) return@buildString
                append(events, from, to)
                at = events.indexOf(CONTENT, to)
            }
        }

    private companion object {
        const val INITIAL_BYTES = 2048
        const val OK = 200
        const val END = "data: [DONE]\n\n"
        const val FINISH = "\"finish_reason\":\""
        const val CONTENT = "\"content\":\""
    }
}
