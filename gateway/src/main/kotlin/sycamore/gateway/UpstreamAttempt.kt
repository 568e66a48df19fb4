package sycamore.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.forwarding.AnswerEvent
import sycamore.forwarding.CallUpstream
import sycamore.forwarding.CallerExchange
import sycamore.forwarding.UpstreamException
import sycamore.forwarding.UpstreamRequest
import sycamore.forwarding.collectWhile
import sycamore.platform.CallHeaders
import sycamore.routing.ListedUpstream
import sycamore.routing.Repeat
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/** How sending a plain call to one upstream ended. */
internal sealed interface AttemptEnd {
    /** The caller has the whole answer. */
    data object Answered : AttemptEnd

    /** The upstream did not run the call. */
    data class NotRun(
        val reason: String,
    ) : AttemptEnd

    /** The upstream may have run the call, and the caller has nothing of its answer. */
    data class Broke(
        val reason: String,
    ) : AttemptEnd

    /** The caller has a part of the answer, and there is no more of it. */
    data class CutOff(
        val reason: String,
    ) : AttemptEnd
}

/**
 * Sends one plain call to one upstream and passes the answer on.
 *
 * An answer is held until it is whole, so that the call can still go to another upstream when it breaks off. One that is longer
 * than [HELD_BYTES] is passed on as fast as the caller takes it, and so is a stream from its head on. No more of it than that
 * is in memory, however long it is.
 */
internal class UpstreamAttempt(
    private val caller: CallerExchange,
    private val call: AcceptedCall,
    private val upstream: ListedUpstream,
    private val callUpstream: CallUpstream,
    private val onLeaving: (ListedUpstream) -> Unit,
) {
    private val held = ByteArrayOutputStream()
    private var head: AnswerEvent.Head? = null
    private var fault: AttemptEnd? = null

    /** Sends the call, and gives it up when nothing could be passed on [within] that time. */
    suspend fun run(within: Duration): AttemptEnd =
        coroutineScope {
            val work = async { exchange() }
            val early = withTimeoutOrNull(within) { work.await() }
            val late = if (early == null && caller.isBegun) withTimeoutOrNull(call.timeLeft) { work.await() } else null
            work.cancelAndJoin()
            early ?: late ?: fault ?: givenUp(within)
        }

    private fun givenUp(within: Duration): AttemptEnd =
        if (caller.isBegun) {
            AttemptEnd.CutOff("${upstream.id} did not answer whole in time")
        } else {
            AttemptEnd.Broke("${upstream.id} did not answer within $within")
        }

    private suspend fun exchange(): AttemptEnd {
        val headers = call.forwarded + CallHeaders.upstreamHeaders(upstream.id, call.timeLeft)
        val request = UpstreamRequest(upstream.address, call.method, call.target, headers, call.body)
        try {
            callUpstream(request).collectWhile(::take)
        } catch (e: UpstreamException) {
            return brokenOff(e)
        }
        fault?.let { return it }
        if (head == null) return AttemptEnd.Broke("${upstream.id} gave no answer")
        finish()
        return AttemptEnd.Answered
    }

    private fun brokenOff(failure: UpstreamException): AttemptEnd {
        val reason = "${upstream.id} at ${upstream.address} broke off: ${failure.message}"
        return when {
            fault != null -> fault!!
            caller.isBegun -> AttemptEnd.CutOff(reason)
            failure.sent -> AttemptEnd.Broke(reason)
            else -> AttemptEnd.NotRun(reason)
        }
    }

    /** Takes [event]; false if the rest of the answer is of no use. */
    private suspend fun take(event: AnswerEvent): Boolean {
        when (event) {
            is AnswerEvent.Head -> begin(event)
            is AnswerEvent.Bytes -> pass(event.bytes)
            is AnswerEvent.End -> Unit
        }
        return fault == null
    }

    private suspend fun begin(event: AnswerEvent.Head) {
        head = event
        if (CallHeaders.isLeaving(event.headers)) onLeaving(upstream)
        fault = faultOf(event)
        if (fault == null && isStream) passOn()
    }

    private suspend fun pass(bytes: ByteArray) {
        if (caller.isBegun) return caller.write(bytes)
        held.write(bytes)
        if (held.size() > HELD_BYTES) passOn()
    }

    private val isStream: Boolean get() = call.route.repeat == Repeat.ONCE_STREAMED

    /** Why the answer that begins with [event] is not passed on; null if it is. */
    private fun faultOf(event: AnswerEvent.Head): AttemptEnd? {
        val answer = CallHeaders.decodeResponse(event.status, event.headers)
        return when {
            answer.isNotRun -> AttemptEnd.NotRun("${upstream.id} answered ${answer.status} and did not run it")
            answer.id != call.head.id -> AttemptEnd.Broke("${upstream.id} answered call ${answer.id}")
            answer.isEncoded -> AttemptEnd.Broke("${upstream.id} encoded its answer")
            answer.isSuccess && !answer.isStamped -> AttemptEnd.Broke("${upstream.id} did not sign its answer")
            else -> null
        }
    }

    private suspend fun passOn() {
        caller.begin(head!!.status, CallHeaders.filterForCaller(head!!.headers))
        if (held.size() > 0) caller.write(held.toByteArray())
        held.reset()
    }

    private suspend fun finish() {
        if (caller.isBegun) {
            caller.end()
        } else {
            caller.answer(head!!.status, CallHeaders.filterForCaller(head!!.headers), held.toByteArray())
        }
    }

    private companion object {
        /** Most of an answer that is held. Answers of plain services have a kilobyte or so. */
        const val HELD_BYTES = 256 * 1024
    }
}
