package sycamore.forwarding

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.collect
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.transformWhile
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.eclipse.jetty.client.BytesRequestContent
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Request
import org.eclipse.jetty.client.Response
import org.eclipse.jetty.client.Result
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP
import org.eclipse.jetty.http.HttpCookieStore
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.util.thread.QueuedThreadPool
import sycamore.model.Address
import sycamore.platform.Header
import java.io.EOFException
import java.io.IOException
import java.util.concurrent.CancellationException
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A request to an upstream. */
class UpstreamRequest(
    val address: Address,
    val method: String,
    val target: String,
    val headers: List<Header>,
    val body: ByteArray,
)

/** What comes of an answer, in order. */
sealed interface AnswerEvent {
    /** Its status and headers. */
    class Head(
        val status: Int,
        val headers: List<Header>,
    ) : AnswerEvent

    /** Bytes of its body. */
    class Bytes(
        val bytes: ByteArray,
    ) : AnswerEvent

    /** The body is whole. [isFramed] is false when only the end of the connection says so. */
    data class End(
        val isFramed: Boolean,
    ) : AnswerEvent
}

/**
 * The upstream did not answer in full.
 *
 * @property sent whether it may have got the request.
 */
class UpstreamException(
    message: String,
    val sent: Boolean,
) : IOException(message)

/**
 * Sends a request to an upstream and yields its answer; fails with [UpstreamException] when there is no whole one.
 *
 * Whoever stops collecting gives the request up.
 */
typealias CallUpstream = (request: UpstreamRequest) -> Flow<AnswerEvent>

/** Collects an answer for as long as [take] says that the rest of it is wanted. */
suspend fun Flow<AnswerEvent>.collectWhile(take: suspend (AnswerEvent) -> Boolean) =
    transformWhile<AnswerEvent, Unit> { take(it) }.collect()

/**
 * Sends requests to upstreams over connections that are kept open.
 *
 * Whoever stops collecting gives the request up. The rest of a short answer is still read then, as it has mostly come with its
 * head, and its connection is kept.
 */
class UpstreamClient(
    connectTimeout: Duration = CONNECT_TIMEOUT,
    idleTimeout: Duration = IDLE_TIMEOUT,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val client =
        HttpClient(HttpClientTransportOverHTTP(ProbingConnector())).apply {
            isFollowRedirects = false
            httpCookieStore = HttpCookieStore.Empty()
            maxConnectionsPerDestination = MAX_CONNECTIONS
            this.connectTimeout = connectTimeout.inWholeMilliseconds
            this.idleTimeout = idleTimeout.inWholeMilliseconds
            executor = QueuedThreadPool(MAX_THREADS, MIN_THREADS)
            userAgentField = null
            maxResponseHeadersSize = MAX_HEAD_BYTES
            start()
            contentDecoderFactories.clear()
            protocolHandlers.clear()
        }

    /** Sends [request]; see [CallUpstream]. */
    fun exchange(request: UpstreamRequest): Flow<AnswerEvent> =
        flow {
            val answer = Answer()
            val jetty =
                client
                    .newRequest("http://${request.address}${request.target}")
                    .method(request.method)
                    .onRequestBegin { answer.sent.set(true) }
                    .headers { fields -> request.headers.forEach { (name, value) -> fields.add(name, value) } }
            if (request.body.isNotEmpty()) jetty.body(BytesRequestContent(null as String?, request.body))
            jetty.send(answer)
            var last: Step? = null
            try {
                for (step in answer.steps) {
                    last = step
                    emit(step.event)
                    step.demand?.run()
                    last = null
                }
            } finally {
                if (!answer.isWhole) giveUp(jetty, answer, last)
            }
        }

    private fun giveUp(
        jetty: Request,
        answer: Answer,
        last: Step?,
    ) {
        val unwanted = CancellationException("the answer is not wanted any more")
        if (!answer.isShort) {
            jetty.abort(unwanted)
            return
        }
        scope.launch {
            last?.demand?.run()
            withTimeoutOrNull(REST) { for (step in answer.steps) step.demand?.run() }
            if (!answer.isWhole) jetty.abort(unwanted)
        }
    }

    override fun close() {
        scope.cancel()
        client.stop()
    }

    private class Step(
        val event: AnswerEvent,
        val demand: Runnable? = null,
    )

    /** Hands what Jetty reads to the collector, one piece at a time. */
    private class Answer : Response.Listener {
        val steps = Channel<Step>(Channel.UNLIMITED)
        val sent = AtomicBoolean()

        /** Whether all of it has come. */
        @Volatile
        var isWhole = false
            private set

        /** Whether its head says that no more than [SHORT_BYTES] follow. */
        @Volatile
        var isShort = false
            private set
        private var isFramed = true

        override fun onHeaders(response: Response) {
            isFramed = response.headers.contains("Content-Length") || response.headers.contains("Transfer-Encoding")
            isShort = response.headers.getLongField("Content-Length") in 0..SHORT_BYTES
            val headers = response.headers.map { it.name to it.value.orEmpty() }
            steps.trySend(Step(AnswerEvent.Head(response.status, headers)))
        }

        override fun onContent(
            response: Response,
            chunk: Content.Chunk,
            demander: Runnable,
        ) {
            val buffer = chunk.byteBuffer
            val bytes = ByteArray(buffer.remaining())
            buffer.get(bytes)
            steps.trySend(Step(AnswerEvent.Bytes(bytes), demander))
        }

        override fun onComplete(result: Result) {
            if (result.isSucceeded) {
                isWhole = true
                steps.trySend(Step(AnswerEvent.End(isFramed)))
                steps.close()
            } else {
                val failure = result.failure
                steps.close(UpstreamException(reason(failure), sent.get()))
            }
        }
    }

    internal companion object {
        /** Jetty tells the state of a closed connection object by object, which no reader of a log wants. */
        private fun reason(failure: Throwable): String =
            when (failure) {
                is EOFException -> "the connection was closed before the whole answer"
                else -> failure.message?.substringBefore(" on HttpConnection") ?: failure.toString()
            }

        /** The farthest upstream is 24 ms away there and back; a lost first packet is sent again after a second. */
        private val CONNECT_TIMEOUT = 1200.milliseconds

        /** An upstream closes idle connections by itself; this only bounds what is left of those that vanished. */
        private val IDLE_TIMEOUT = 30.seconds

        /** Several times what an upstream sends; a head that is longer may have no end. */
        const val MAX_HEAD_BYTES = 64 * 1024

        /** Answers of plain services have a kilobyte or so, and refusals less. */
        private const val SHORT_BYTES = 16L * 1024

        /** The rest of a short answer is under way when its head is read. */
        private val REST = 100.milliseconds

        /** Below what an upstream accepts from all callers together. */
        private const val MAX_CONNECTIONS = 64

        private const val MAX_THREADS = 8
        private const val MIN_THREADS = 2
    }
}
