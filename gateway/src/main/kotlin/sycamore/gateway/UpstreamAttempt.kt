package sycamore.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.forwarding.CallUpstream
import sycamore.forwarding.CallerExchange
import sycamore.forwarding.ResponseEvent
import sycamore.forwarding.SendPermit
import sycamore.forwarding.UpstreamException
import sycamore.forwarding.UpstreamRequest
import sycamore.forwarding.collectWhile
import sycamore.platform.CallHeaders
import sycamore.routing.ListedUpstream
import sycamore.routing.RepeatPolicy
import sycamore.turns.EventBoundary
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/** The result of sending a plain call to one upstream. */
internal sealed interface AttemptResult {
    /** The caller received the complete response. */
    data object Completed : AttemptResult

    /** The upstream did not run the call. */
    data class NotRun(
        val reason: String,
    ) : AttemptResult

    /** The attempt failed after the upstream may have run the call. The caller received no part of a response. */
    data class Failed(
        val reason: String,
    ) : AttemptResult

    /** The caller received a part of the response, and the rest cannot be obtained. */
    data class Truncated(
        val reason: String,
    ) : AttemptResult
}

/**
 * Sends one plain call to one upstream and forwards the response.
 *
 * A response is buffered until it is complete, so that the call can still be sent to another upstream if this one
 * fails. A response longer than [MAX_BUFFERED_BYTES] is forwarded as fast as the caller reads it, and so is a stream,
 * starting with its head. No more than that is held in memory, however long the response is.
 */
internal class UpstreamAttempt(
    private val caller: CallerExchange,
    private val call: AcceptedCall,
    private val upstream: ListedUpstream,
    private val callUpstream: CallUpstream,
    private val onLeaving: (ListedUpstream) -> Unit,
) {
    private val permit = SendPermit()
    private val buffer = ByteArrayOutputStream()
    private val events = EventBoundary()
    private var head: ResponseEvent.Head? = null
    private var rejection: AttemptResult? = null
    private var failure: UpstreamException? = null

    /** Describes this attempt, which ended with [result]; null if the caller received the complete response. */
    fun trace(result: AttemptResult): AttemptTrace? {
        val (outcome, detail) =
            when (result) {
                AttemptResult.Completed -> return null
                is AttemptResult.NotRun -> AttemptTrace.Outcome.NOT_RUN to result.reason
                is AttemptResult.Failed -> AttemptTrace.Outcome.FAILED to result.reason
                is AttemptResult.Truncated -> AttemptTrace.Outcome.CUT to result.reason
            }
        return AttemptTrace(
            upstream.id,
            outcome,
            detail,
            status = head?.status,
            sent = failure?.sent ?: !withdraw(),
            connection = failure?.connection ?: head?.connection,
        )
    }

    /**
     * Sends the call. Cancels it if no part of the response could be forwarded within [timeout]. Once the response has
     * started, the time left of the call is the limit.
     */
    suspend fun run(timeout: Duration): AttemptResult =
        coroutineScope {
            val job = async { exchange() }
            val early = withTimeoutOrNull(timeout) { job.await() }
            val late = if (early == null && caller.isStarted) withTimeoutOrNull(call.timeLeft) { job.await() } else null
            val isUnsent = withdraw()
            job.cancelAndJoin()
            early ?: late ?: rejection ?: timeoutResult(timeout, isUnsent)
        }

    /** Ends the attempt if the call has not been sent. Returns whether it has not been sent and will not be. */
    fun withdraw(): Boolean = permit.withdraw()

    private fun timeoutResult(
        timeout: Duration,
        isUnsent: Boolean,
    ): AttemptResult =
        when {
            isUnsent -> AttemptResult.NotRun("the call could not be sent to ${upstream.id} within $timeout")
            caller.isStarted -> AttemptResult.Truncated("${upstream.id} did not complete its answer in time")
            else -> AttemptResult.Failed("${upstream.id} did not answer within $timeout")
        }

    private suspend fun exchange(): AttemptResult {
        val headers = call.forwarded + CallHeaders.upstreamHeaders(upstream.id, call.timeLeft)
        val id = call.head.id!!
        val request = UpstreamRequest(id, upstream.address, call.method, call.target, headers, call.body, permit)
        try {
            callUpstream(request).collectWhile(::handle)
        } catch (e: UpstreamException) {
            failure = e
            return failureResult(e)
        }
        rejection?.let { return it }
        if (head == null) return AttemptResult.Failed("${upstream.id} gave no answer")
        if (isEventStream && !events.isBetweenEvents) {
            return AttemptResult.Truncated("${upstream.id} ended its answer within an event")
        }
        completeResponse()
        return AttemptResult.Completed
    }

    private fun failureResult(failure: UpstreamException): AttemptResult {
        val reason = "${upstream.id} at ${upstream.address} broke off: ${failure.message}"
        return when {
            rejection != null -> rejection!!
            caller.isStarted -> AttemptResult.Truncated(reason)
            failure.sent -> AttemptResult.Failed(reason)
            else -> AttemptResult.NotRun(reason)
        }
    }

    /** Handles [event]. Returns false if the rest of the response is not needed. */
    private suspend fun handle(event: ResponseEvent): Boolean {
        when (event) {
            is ResponseEvent.Head -> handleHead(event)
            is ResponseEvent.Bytes -> handleBytes(event.bytes)
            is ResponseEvent.End -> Unit
        }
        return rejection == null
    }

    private suspend fun handleHead(event: ResponseEvent.Head) {
        head = event
        call.trace.connection = event.connection
        if (CallHeaders.isLeaving(event.headers)) onLeaving(upstream)
        rejection = rejectionOf(event)
        if (rejection == null && isStream) startForwarding()
    }

    private suspend fun handleBytes(bytes: ByteArray) {
        if (isEventStream) events.read(bytes)
        if (caller.isStarted) return caller.write(bytes)
        buffer.write(bytes)
        if (buffer.size() > MAX_BUFFERED_BYTES) startForwarding()
    }

    private val isStream: Boolean get() = call.route.repeat == RepeatPolicy.ONCE_STREAMED

    private val isEventStream: Boolean by lazy {
        isStream &&
            head!!.headers.any { (name, value) ->
                name.equals("Content-Type", ignoreCase = true) && value.startsWith(EVENT_STREAM, ignoreCase = true)
            }
    }

    /** Why the response that starts with [event] is not forwarded; null if it is. */
    private fun rejectionOf(event: ResponseEvent.Head): AttemptResult? {
        val response = CallHeaders.decodeResponse(event.status, event.headers)
        return when {
            response.isNotRun -> AttemptResult.NotRun("${upstream.id} answered ${response.status} and did not run it")
            // The caller would conclude that its call has not run.
            response.isUnconfirmedRefusal ->
                AttemptResult.Failed("${upstream.id} answered ${response.status}, not that it did not run it")
            response.isContradictory ->
                AttemptResult.Failed("${upstream.id} answered ${response.status} and that it did not run it")
            response.isEncoded -> AttemptResult.Failed("${upstream.id} encoded its answer")
            response.isSuccess && !response.isStamped -> AttemptResult.Failed("${upstream.id} did not sign its answer")
            else -> null
        }
    }

    private suspend fun startForwarding() {
        caller.sendHead(head!!.status, CallHeaders.filterForCaller(head!!.headers))
        if (buffer.size() > 0) caller.write(buffer.toByteArray())
        buffer.reset()
    }

    private suspend fun completeResponse() {
        if (caller.isStarted) {
            caller.complete()
        } else {
            caller.respond(head!!.status, CallHeaders.filterForCaller(head!!.headers), buffer.toByteArray())
        }
    }

    private companion object {
        /** The most bytes of a response that are buffered. Responses of plain services have about a kilobyte. */
        const val MAX_BUFFERED_BYTES = 256 * 1024

        const val EVENT_STREAM = "text/event-stream"
    }
}
