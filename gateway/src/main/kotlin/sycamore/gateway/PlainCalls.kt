package sycamore.gateway

import sycamore.forwarding.CallUpstream
import sycamore.forwarding.CallerExchange
import sycamore.model.Address
import sycamore.routing.ListedUpstream
import sycamore.routing.RepeatPolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Sends calls without a history to upstreams, and repeats them at other upstreams if that is allowed. */
internal class PlainCalls(
    private val upstreams: UpstreamDirectory,
    private val loads: UpstreamLoads,
    private val callUpstream: CallUpstream,
) {
    /** Serves [call] and responds to its caller. */
    suspend fun serve(
        exchange: CallerExchange,
        call: AcceptedCall,
    ) {
        // By address: an upstream may register under another id between two attempts, and two answers on one of its
        // connections that name the same call cannot be told apart.
        val tried = HashSet<Address>()
        var sends = 0
        var last: AttemptResult = AttemptResult.NotRun("no upstream of ${call.service} takes calls")
        while (sends < call.route.attempts && tried.size < MAX_UPSTREAMS_TRIED) {
            val candidates = upstreams.available(call.service).filter { it.address !in tried }
            val upstream = loads.choose(candidates, call.affinityKey) ?: break
            val left = call.timeLeft
            if (left < MIN_TIME_LEFT || !call.isSendable) break
            tried += upstream.address
            call.trace.upstream = upstream.id
            call.trace.choice = loads.describe(upstream)
            call.trace.sends++
            val mayRepeat = call.route.repeat == RepeatPolicy.IDEMPOTENT && sends + 1 < call.route.attempts
            last = attempt(exchange, call, upstream, if (mayRepeat) left / 2 else left)
            if (last is AttemptResult.NotRun) continue
            sends++
            if (last is AttemptResult.Completed || last is AttemptResult.Truncated) break
            if (!mayRepeat) break
        }
        respond(exchange, call, last)
    }

    private suspend fun respond(
        exchange: CallerExchange,
        call: AcceptedCall,
        last: AttemptResult,
    ) {
        val reason =
            when (last) {
                AttemptResult.Completed -> return
                is AttemptResult.Truncated -> last.reason
                is AttemptResult.NotRun -> last.reason
                is AttemptResult.Failed -> last.reason
            }
        call.trace.detail = reason
        when {
            last is AttemptResult.Truncated -> exchange.abort(reason)
            !call.mayHaveRun -> exchange.respond(GatewayError.NOT_RUN, reason, call.head.id, RETRY_AFTER)
            call.timeLeft <= Duration.ZERO ->
                exchange.respond(GatewayError.TOO_LATE, "no answer came in time", call.head.id)
            else -> exchange.respond(GatewayError.BROKEN, reason, call.head.id)
        }
    }

    private suspend fun attempt(
        exchange: CallerExchange,
        call: AcceptedCall,
        upstream: ListedUpstream,
        timeout: Duration,
    ): AttemptResult {
        val use = loads.recordStart(upstream)
        val mayHaveRunBefore = call.mayHaveRun
        call.mayHaveRun = true
        var isSuccessful = false
        val attempt = UpstreamAttempt(exchange, call, upstream, callUpstream, upstreams::markLeaving)
        try {
            val end = attempt.run(timeout)
            attempt.trace(end)?.let(call.trace::add)
            isSuccessful = end is AttemptResult.Completed
            if (end is AttemptResult.NotRun) {
                call.mayHaveRun = mayHaveRunBefore
                loads.recordFull(upstream)
            }
            return end
        } finally {
            if (attempt.withdraw()) call.mayHaveRun = mayHaveRunBefore
            loads.recordEnd(upstream, isSuccessful, use.takeIf { isSuccessful }, call.route.name)
        }
    }

    companion object {
        /** The most upstreams that one call is sent to. Upstreams that are full refuse it immediately. */
        const val MAX_UPSTREAMS_TRIED = 5

        /** The least time left at which a call is sent. No upstream responds in less. */
        private val MIN_TIME_LEFT = 5.milliseconds

        /** About the duration of a call, so that a slot is likely to be free after it. */
        private val RETRY_AFTER = 150.milliseconds
    }
}
