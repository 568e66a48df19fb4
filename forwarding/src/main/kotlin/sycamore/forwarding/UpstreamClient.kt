package sycamore.forwarding

import io.micrometer.core.instrument.MeterRegistry
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
import org.eclipse.jetty.http.HttpCookieStore
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.util.thread.QueuedThreadPool
import sycamore.daemon.InterimResponses
import sycamore.model.Address
import sycamore.platform.CallHeaders
import sycamore.platform.Header
import sycamore.platform.ResponseHead
import sycamore.routing.AttemptId
import java.io.EOFException
import java.io.IOException
import java.util.concurrent.CancellationException
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A request to an upstream.
 *
 * @property id the id of the attempt, which is among [headers]. The upstream names it in its response.
 * @property permit the permission to send it, which the sender may withdraw.
 */
class UpstreamRequest(
    val id: AttemptId,
    val address: Address,
    val method: String,
    val target: String,
    val headers: List<Header>,
    val body: ByteArray,
    val permit: SendPermit = SendPermit(),
)

/** A part of a response. The parts are emitted in the order in which they are received. */
sealed interface ResponseEvent {
    /**
     * The status and headers.
     *
     * @property connection the use of the connection on which the response is received; null if unknown.
     */
    class Head(
        val status: Int,
        val headers: List<Header>,
        val connection: ConnectionUse? = null,
    ) : ResponseEvent

    /** Bytes of the body. */
    class Bytes(
        val bytes: ByteArray,
    ) : ResponseEvent

    /**
     * The end of the body; the response is complete. The body of a response without a length or chunks ends with its
     * connection, if that was closed in order.
     */
    data object End : ResponseEvent
}

/**
 * Thrown when the upstream did not send a complete response.
 *
 * @property sent whether the upstream may have received the request.
 * @property connection the use of the connection on which the request was sent; null if unknown, or if it was not sent.
 */
class UpstreamException(
    message: String,
    val sent: Boolean,
    val connection: ConnectionUse? = null,
) : IOException(message)

/**
 * Sends a request to an upstream and emits its response. Fails with [UpstreamException] if the response is not
 * complete, or does not name the request: then nothing is known of the response to this one.
 *
 * A collector that stops early cancels the request.
 */
typealias CallUpstream = (request: UpstreamRequest) -> Flow<ResponseEvent>

/** Passes each part of a response to [consume] until it returns false, which means that the rest is not needed. */
suspend fun Flow<ResponseEvent>.collectWhile(consume: suspend (ResponseEvent) -> Boolean) =
    transformWhile<ResponseEvent, Unit> { consume(it) }.collect()

/**
 * Sends requests to upstreams over connections that are kept open.
 *
 * A collector that stops early cancels the request. The rest of a short response is still read in that case, so that
 * its connection can be kept. It has mostly arrived together with the head.
 */
class UpstreamClient(
    registry: MeterRegistry,
    connectTimeout: Duration = CONNECT_TIMEOUT,
    idleTimeout: Duration = IDLE_TIMEOUT,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val record = AnswerRecord(registry)
    private val client =
        HttpClient(ClientTransport(onStrayBytes = record::recordStrayBytes)).apply {
            isFollowRedirects = false
            httpCookieStore = HttpCookieStore.Empty()
            maxConnectionsPerDestination = MAX_CONNECTIONS_PER_UPSTREAM
            this.connectTimeout = connectTimeout.inWholeMilliseconds
            this.idleTimeout = idleTimeout.inWholeMilliseconds
            executor = QueuedThreadPool(MAX_THREADS, MIN_THREADS)
            userAgentField = null
            maxResponseHeadersSize = MAX_HEAD_BYTES
            start()
            contentDecoderFactories.clear()
            InterimResponses.skip(this)
        }

    /** Sends [request] as [CallUpstream] specifies. */
    fun exchange(request: UpstreamRequest): Flow<ResponseEvent> =
        flow {
            val response = ResponseReader(request)
            request.permit.manage()
            val jetty =
                client
                    .newRequest("http://${request.address}${request.target}")
                    .method(request.method)
                    .onRequestBegin { response.begin(it) }
                    .headers { fields -> request.headers.forEach { (name, value) -> fields.add(name, value) } }
            if (request.body.isNotEmpty()) jetty.body(BytesRequestContent(null as String?, request.body))
            jetty.send(response)
            var lastPart: Part? = null
            try {
                for (part in response.parts) {
                    lastPart = part
                    emit(part.event)
                    part.demand?.run()
                    lastPart = null
                }
            } finally {
                if (!response.isComplete) cancel(jetty, response, lastPart)
            }
        }

    private fun cancel(
        jetty: Request,
        response: ResponseReader,
        lastPart: Part?,
    ) {
        val cancellation = CancellationException("the request was cancelled")
        if (!response.isShort) {
            jetty.abort(cancellation)
            return
        }
        scope.launch {
            lastPart?.demand?.run()
            try {
                withTimeoutOrNull(REMAINDER_TIMEOUT) { for (part in response.parts) part.demand?.run() }
            } catch (_: UpstreamException) {
                // The response has failed, and its connection is closed.
            }
            if (!response.isComplete) jetty.abort(cancellation)
        }
    }

    override fun close() {
        scope.cancel()
        client.stop()
    }

    private class Part(
        val event: ResponseEvent,
        val demand: Runnable? = null,
    )

    /** Hands the parts of a response that Jetty reads to the collector, one at a time. */
    private inner class ResponseReader(
        private val request: UpstreamRequest,
    ) : Response.Listener {
        val parts = Channel<Part>(Channel.UNLIMITED)
        private val sent = AtomicBoolean()

        @Volatile
        private var connection: ClientConnection? = null

        /** Whether the complete response was received. */
        @Volatile
        var isComplete = false
            private set

        /** Whether the head declares a body of at most [SHORT_BODY_BYTES]. */
        @Volatile
        var isShort = false
            private set

        /** Records that [jetty] is about to be written on its connection, or aborts it if the permit was withdrawn. */
        fun begin(jetty: Request) {
            if (!request.permit.use()) {
                jetty.abort(CancellationException("the request was withdrawn"))
                return
            }
            connection = jetty.connection as? ClientConnection
            sent.set(true)
        }

        override fun onHeaders(response: Response) {
            val headers = response.headers.map { it.name to it.value.orEmpty() }
            val use = (response.request.connection as ClientConnection).use
            val head = CallHeaders.decodeResponse(response.status, headers)
            record.recordHead(request, head, use)
            if (head.id != request.id) {
                // The upstream may repeat an earlier response, so the responses that follow are out of step too.
                response.abort(UpstreamException(misattribution(head, use), sent = true, use))
                return
            }
            isShort = response.headers.getLongField("Content-Length") in 0..SHORT_BODY_BYTES
            parts.trySend(Part(ResponseEvent.Head(response.status, headers, use)))
        }

        override fun onContent(
            response: Response,
            chunk: Content.Chunk,
            demander: Runnable,
        ) {
            val buffer = chunk.byteBuffer
            val bytes = ByteArray(buffer.remaining())
            buffer.get(bytes)
            parts.trySend(Part(ResponseEvent.Bytes(bytes), demander))
        }

        override fun onComplete(result: Result) {
            if (result.isSucceeded) {
                isComplete = true
                parts.trySend(Part(ResponseEvent.End))
                parts.close()
            } else {
                val failure = result.failure
                record.recordFailure(sent.get())
                val exception =
                    failure as? UpstreamException
                        ?: UpstreamException(reason(failure), sent.get(), connection?.use)
                parts.close(exception)
            }
        }
    }

    internal companion object {
        private fun misattribution(
            head: ResponseHead,
            use: ConnectionUse,
        ): String {
            val named = head.id?.let { "request $it" } ?: "no request"
            return "the answer to request ${use.requests} of the connection names $named"
        }

        /**
         * A short description of [failure]. Jetty's messages list the state of each object of the connection, which is
         * left out.
         */
        private fun reason(failure: Throwable): String =
            when (failure) {
                is EOFException -> "the connection was closed before the response was complete"
                else -> failure.message?.substringBefore(CONNECTION_STATE) ?: failure.toString()
            }

        /** Precedes the state of the connection in Jetty's messages. */
        private val CONNECTION_STATE = " on ${ClientConnection::class.java.simpleName}@"

        /** The round trip to the farthest upstream takes 24 ms. A lost first packet is retransmitted after a second. */
        private val CONNECT_TIMEOUT = 1200.milliseconds

        /**
         * An upstream closes its idle connections itself. This timeout removes connections to upstreams that no longer
         * exist.
         */
        private val IDLE_TIMEOUT = 30.seconds

        /** Several times the size of the heads that upstreams send. A longer one may be endless. */
        const val MAX_HEAD_BYTES = 64 * 1024

        /** Responses of plain services have about a kilobyte, and refusals less. */
        private const val SHORT_BODY_BYTES = 16L * 1024

        /** Limits the time for reading the rest of a short response, which is in transit when its head is read. */
        private val REMAINDER_TIMEOUT = 100.milliseconds

        /** Below the number of connections that an upstream accepts from all callers together. */
        private const val MAX_CONNECTIONS_PER_UPSTREAM = 64

        private const val MAX_THREADS = 8
        private const val MIN_THREADS = 2
    }
}
