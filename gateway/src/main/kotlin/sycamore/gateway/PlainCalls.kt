package sycamore.gateway

import sycamore.forwarding.CallUpstream
import sycamore.forwarding.CallerExchange
import sycamore.routing.ListedUpstream
import sycamore.routing.RepeatPolicy
import sycamore.routing.UpstreamId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Sends calls that keep no history to upstreams, and repeats those that may be repeated. */
internal class PlainCalls(
    private val upstreams: UpstreamDirectory,
    private val loads: UpstreamLoads,
    private val callUpstream: CallUpstream,
) {
    /** Serves [call]. */
    suspend fun serve(
        exchange: CallerExchange,
        call: AcceptedCall,
    ) {
        val tried = HashSet<UpstreamId>()
        var sends = 0
        var last: AttemptEnd = AttemptEnd.NotRun("no upstream of ${call.service} takes calls")
        var mayHaveRun = false
        while (sends < call.route.attempts && tried.size < MAX_TRIED) {
            val open = upstreams.of(call.service).filter { it.id !in tried }
            val upstream = loads.choose(open, call.head.affinityKey.takeIf { call.route.hasAffinity }) ?: break
            val left = call.timeLeft
            if (left < LEAST_TIME) break
            tried += upstream.id
            call.trace.upstream = upstream.id
            call.trace.sends++
            val mayRepeat = call.route.repeat == RepeatPolicy.IDEMPOTENT && sends + 1 < call.route.attempts
            last = attempt(exchange, call, upstream, if (mayRepeat) left / 2 else left)
            if (last is AttemptEnd.NotRun) continue
            sends++
            if (last is AttemptEnd.Answered || last is AttemptEnd.CutOff) break
            mayHaveRun = true
            if (!mayRepeat) break
        }
        answer(exchange, call, last, mayHaveRun)
    }

    private suspend fun answer(
        exchange: CallerExchange,
        call: AcceptedCall,
        last: AttemptEnd,
        mayHaveRun: Boolean,
    ) {
        val reason =
            when (last) {
                AttemptEnd.Answered -> return
                is AttemptEnd.CutOff -> last.reason
                is AttemptEnd.NotRun -> last.reason
                is AttemptEnd.Broke -> last.reason
            }
        call.trace.detail = reason
        when {
            last is AttemptEnd.CutOff -> exchange.cut(reason)
            !mayHaveRun -> exchange.answer(OwnAnswer.NOT_RUN, reason, call.head.id, RETRY_AFTER)
            call.timeLeft <= Duration.ZERO ->
                exchange.answer(
                    OwnAnswer.TOO_LATE,
                    "no answer came in time",
                    call.head.id,
                )
            else -> exchange.answer(OwnAnswer.BROKEN, reason, call.head.id)
        }
    }

    private suspend fun attempt(
        exchange: CallerExchange,
        call: AcceptedCall,
        upstream: ListedUpstream,
        within: Duration,
    ): AttemptEnd {
        loads.begin(upstream)
        var isSound = false
        try {
            val end = UpstreamAttempt(exchange, call, upstream, callUpstream, upstreams::leaves).run(within)
            isSound = end is AttemptEnd.Answered
            if (end is AttemptEnd.NotRun) loads.full(upstream)
            return end
        } finally {
            loads.end(upstream, isSound)
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
