package sycamore.gateway

import kotlinx.coroutines.withTimeoutOrNull
import sycamore.forwarding.AnswerEvent
import sycamore.forwarding.CallUpstream
import sycamore.forwarding.CallerExchange
import sycamore.forwarding.UpstreamException
import sycamore.forwarding.UpstreamRequest
import sycamore.platform.AnswerHead
import sycamore.platform.CallHeaders
import sycamore.platform.Header
import sycamore.routing.ListedUpstream
import sycamore.routing.Repeat
import sycamore.routing.UpstreamId
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Sends calls that keep no history to upstreams, and repeats those that may be repeated. */
internal class PlainCalls(
    private val upstreams: UpstreamDirectory,
    private val loads: UpstreamLoads,
    private val callUpstream: CallUpstream,
) {
    /** How one attempt ended. */
    private sealed interface Attempt {
        class Answered(
            val status: Int,
            val headers: List<Header>,
            val body: ByteArray,
        ) : Attempt

        /** The upstream did not run the call. */
        class NotRun(
            val reason: String,
        ) : Attempt

        /** The upstream may have run the call. */
        class Broke(
            val reason: String,
        ) : Attempt
    }

    /** Serves [call]. */
    suspend fun serve(
        exchange: CallerExchange,
        call: AcceptedCall,
    ) {
        val tried = HashSet<UpstreamId>()
        var sends = 0
        var last: Attempt = Attempt.NotRun("no upstream of ${call.service} takes calls")
        var mayHaveRun = false
        while (sends < call.route.attempts && tried.size < MAX_TRIED) {
            val open = upstreams.of(call.service).filter { it.id !in tried }
            val upstream = loads.choose(open, call.head.affinityKey.takeIf { call.route.hasAffinity }) ?: break
            val left = call.timeLeft
            if (left < LEAST_TIME) break
            tried += upstream.id
            call.trace.upstream = upstream.id
            call.trace.sends++
            val mayRepeat = call.route.repeat == Repeat.IDEMPOTENT && sends + 1 < call.route.attempts
            last = attempt(call, upstream, left, if (mayRepeat) left / 2 else left)
            if (last is Attempt.NotRun) continue
            sends++
            if (last is Attempt.Answered) break
            mayHaveRun = true
            if (!mayRepeat) break
        }
        answer(exchange, call, last, mayHaveRun)
    }

    private suspend fun answer(
        exchange: CallerExchange,
        call: AcceptedCall,
        last: Attempt,
        mayHaveRun: Boolean,
    ) {
        when {
            last is Attempt.Answered -> exchange.answer(last.status, last.headers, last.body)
            !mayHaveRun -> {
                val reason = (last as? Attempt.NotRun)?.reason ?: "no time is left"
                call.trace.detail = reason
                exchange.answer(OwnAnswer.NOT_RUN, reason, call.head.id, RETRY_AFTER)
            }
            call.timeLeft <= Duration.ZERO -> {
                call.trace.detail = "${call.trace.upstream} did not answer in time"
                exchange.answer(OwnAnswer.TOO_LATE, "no answer came in time", call.head.id)
            }
            else -> {
                val reason = (last as? Attempt.Broke)?.reason ?: "no upstream is left"
                call.trace.detail = reason
                exchange.answer(OwnAnswer.BROKEN, reason, call.head.id)
            }
        }
    }

    private suspend fun attempt(
        call: AcceptedCall,
        upstream: ListedUpstream,
        left: Duration,
        limit: Duration,
    ): Attempt {
        loads.begin(upstream)
        var isSound = false
        try {
            val result =
                withTimeoutOrNull(limit) { send(call, upstream, left) } ?: Attempt.Broke("no answer within $limit")
            isSound = result is Attempt.Answered
            if (result is Attempt.NotRun) loads.full(upstream)
            return result
        } finally {
            loads.end(upstream, isSound)
        }
    }

    private suspend fun send(
        call: AcceptedCall,
        upstream: ListedUpstream,
        left: Duration,
    ): Attempt {
        val headers = call.forwarded + CallHeaders.towards(upstream.id, left)
        val request = UpstreamRequest(upstream.address, call.method, call.target, headers, call.body)
        var head: AnswerEvent.Head? = null
        val body = ByteArrayOutputStream()
        try {
            callUpstream(request).collect { event ->
                when (event) {
                    is AnswerEvent.Head -> head = event
                    is AnswerEvent.Bytes -> body.write(event.bytes)
                    is AnswerEvent.End -> Unit
                }
            }
        } catch (e: UpstreamException) {
            val reason = "${upstream.id} at ${upstream.address} broke off: ${e.message}"
            return if (e.sent) Attempt.Broke(reason) else Attempt.NotRun(reason)
        }
        return judge(call, upstream, head, body.toByteArray())
    }

    private fun judge(
        call: AcceptedCall,
        upstream: ListedUpstream,
        event: AnswerEvent.Head?,
        body: ByteArray,
    ): Attempt {
        if (event == null) return Attempt.Broke("${upstream.id} gave no answer")
        val answer: AnswerHead = CallHeaders.answer(event.status, event.headers)
        return when {
            answer.isNotRun -> Attempt.NotRun("${upstream.id} answered ${answer.status} and did not run it")
            answer.id != call.head.id -> Attempt.Broke("${upstream.id} answered call ${answer.id}")
            answer.isEncoded -> Attempt.Broke("${upstream.id} encoded its answer")
            answer.isSuccess && !answer.isStamped -> Attempt.Broke("${upstream.id} did not sign its answer")
            else -> Attempt.Answered(event.status, CallHeaders.returned(event.headers), body)
        }
    }

    private companion object {
        /** Upstreams that one call is offered to; those that are full say so at once. */
        const val MAX_TRIED = 5

        /** Nothing is answered in less. */
        val LEAST_TIME = 5.milliseconds

        /** About as long as a call takes, so that a slot is free then. */
        val RETRY_AFTER = 150.milliseconds
    }
}
