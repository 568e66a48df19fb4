package sycamore.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.log.event
import sycamore.forwarding.CallerExchange
import sycamore.links.Exchange
import sycamore.links.HeaderField
import sycamore.links.HomeEndpoint
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.links.RunTurn
import sycamore.links.TurnBegun
import sycamore.links.TurnBytes
import sycamore.links.TurnComplete
import sycamore.links.TurnContinuation
import sycamore.links.TurnInterrupted
import sycamore.links.TurnRefusal
import sycamore.links.TurnRefused
import sycamore.links.TurnTarget
import sycamore.model.Address
import sycamore.platform.CallHeaders
import sycamore.routing.AttemptId
import sycamore.routing.ProgramName
import sycamore.routing.RouteTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** Sends turns of programs to their homes and forwards the answers. */
internal class TurnCalls(
    private val homes: ProgramHomes,
    private val targets: TurnTargets,
    private val engineHosts: EngineDirectory,
    private val upstreams: UpstreamDirectory,
    private val table: StateFlow<RouteTable?>,
    private val exchange: Exchange,
    private val meters: CallMeters,
    private val time: TimeSource,
) {
    /** Serves [call], which is the [turn] of [program]. */
    suspend fun serve(
        caller: CallerExchange,
        call: AcceptedCall,
        program: ProgramName,
        turn: AttemptId,
    ) = Attempts(caller, call, program, turn).run()

    /** The result of sending a turn to a home. */
    private sealed interface SendResult {
        /** The caller received its final response, or its connection was aborted. */
        data object Completed : SendResult

        /** The turn did not run, because its program is served by [home]. */
        class Redirected(
            val home: HomeEndpoint,
        ) : SendResult

        /** The turn did not run and may be sent again after [delay], to another home or upstream. */
        class Retry(
            val reason: String,
            val delay: Duration = RETRY_DELAY,
        ) : SendResult

        /** The home could not be reached and has not received the turn. */
        class Unreachable(
            val reason: String,
        ) : SendResult
    }

    private inner class Attempts(
        private val caller: CallerExchange,
        private val call: AcceptedCall,
        private val program: ProgramName,
        private val turn: AttemptId,
    ) {
        /** The addresses of upstreams that get this turn no more. See [PlainCalls.serve] for why not their ids. */
        private val excluded = HashSet<Address>()
        private var refusalReason = "no upstream of ${call.service} takes turns"
        private val arrivedAt = time.markNow()
        private val prompt =
            TurnPrompt(call.service, program, call.head.promptTokens, call.head.prompt, call.head.outputHint)

        suspend fun run() {
            while (held < MAX_HOLD_TIME && call.timeLeft > MIN_TIME_LEFT && call.isSendable) {
                when (val located = withTimeoutOrNull(MAX_HOLD_TIME - held) { locate() }) {
                    null -> refusalReason = "the program's home was not found in time"
                    HomeLookup.NoSuchTurn -> return refuseUnknownTurn()
                    is HomeLookup.Unavailable -> {
                        refusalReason = located.reason
                        delay(RETRY_DELAY)
                    }
                    is HomeLookup.Found -> if (send(located.home, previousAt = null)) return
                    is HomeLookup.NewProgram -> {
                        val home = targets.chooseHome(call.service, excluded)
                        if (home == null) {
                            delay(RETRY_DELAY)
                        } else if (send(home, located.previousAt)) {
                            return
                        }
                    }
                }
            }
            refuseAsNotRun(refusalReason)
        }

        /** The time for which this gateway has held the turn. */
        private val held: Duration get() = arrivedAt.elapsedNow()

        private suspend fun locate(): HomeLookup {
            val home = homes.knownHome(program)
            // Without history, the body states all that the turn needs.
            val previous = call.head.previous.takeIf { call.route.retention != null }
            return when {
                home != null -> HomeLookup.Found(home)
                previous == null -> HomeLookup.NewProgram(previousAt = null)
                else -> homes.locate(program, previous)
            }
        }

        /** Sends the turn to [home]. Returns true if the caller has received its response. */
        private suspend fun send(
            home: HomeEndpoint,
            previousAt: HomeEndpoint?,
        ): Boolean {
            val target = targets.choose(home, call, prompt, excluded) ?: return waitForTarget()
            call.trace.choice = target.reason
            val message = turnMessage(home, previousAt, target)
            return when (val result = sendTo(home, target, message)) {
                SendResult.Completed -> true
                is SendResult.Redirected -> {
                    homes.recordHome(program, result.home)
                    if (previousAt == null) false else send(result.home, previousAt)
                }
                is SendResult.Retry -> {
                    refusalReason = result.reason
                    meters.recordResend("refused")
                    logResend("turn-sent-elsewhere", home, result.reason)
                    delay(result.delay)
                    false
                }
                is SendResult.Unreachable -> {
                    refusalReason = result.reason
                    meters.recordResend("unreachable")
                    logResend("home-unreachable", home, result.reason)
                    engineHosts.recordUnresponsive(home.address)
                    if (homes.knownHome(program) == home) {
                        withTimeoutOrNull(MAX_HOLD_TIME - held) { homes.takeOver(home) } ?: delay(RETRY_DELAY)
                    } else if (target.gate != null) {
                        // Its engine determined the home.
                        excluded += target.upstream.address
                    }
                    false
                }
            }
        }

        /**
         * Waits for an engine whose gate accepts turns, as one may after its daemon has started again. Without gates, no upstream that
         * is left will run the turn, which is then refused. Returns true if it was.
         */
        private suspend fun waitForTarget(): Boolean {
            if (targets.hasGates(call.service)) {
                refusalReason = "no engine of ${call.service} takes turns"
                delay(RETRY_DELAY)
                return false
            }
            refuseAsNotRun(refusalReason)
            return true
        }

        private fun logResend(
            event: String,
            home: HomeEndpoint,
            reason: String,
        ) = log.event(event, "request" to turn, "home" to home.home, "detail" to reason, isExceptional = true)

        /** Notes that [home] did not answer the turn, or [target] did not answer it completely. */
        private fun trace(
            home: HomeEndpoint,
            target: SelectedTarget,
            outcome: AttemptTrace.Outcome,
            detail: String,
            sent: Boolean = true,
        ) = call.trace.add(AttemptTrace(target.upstream.id, outcome, detail, via = home.home.toString(), sent = sent))

        private suspend fun sendTo(
            home: HomeEndpoint,
            target: SelectedTarget,
            message: RunTurn,
        ): SendResult {
            val use = targets.recordStart(target, call)
            var last: Message? = null
            call.trace.home = home.home
            call.trace.upstream = target.upstream.id
            call.trace.sends++
            call.mayHaveRun = true
            var result: SendResult = SendResult.Completed
            var isAnswered = false
            try {
                val isInTime =
                    withTimeoutOrNull(call.timeLeft) {
                        exchange(home.address, message).collect { reply ->
                            last = reply
                            when (reply) {
                                is TurnRefused -> {
                                    call.mayHaveRun = false
                                    val detail = "${reply.reason}, ${reply.detail}"
                                    trace(home, target, AttemptTrace.Outcome.NOT_RUN, detail)
                                    result = handleRefusal(reply, home, target)
                                    isAnswered = true
                                }
                                else -> isAnswered = forward(reply, home, target) || isAnswered
                            }
                        }
                        true
                    }
                if (isInTime == null) {
                    trace(home, target, brokenOutcome, "not answered in time")
                    failAsTooLate()
                } else if (!isAnswered) {
                    trace(home, target, brokenOutcome, "the home ended without an answer")
                    failAsBroken("the home ended without an answer")
                }
                return result
            } catch (e: LinkException) {
                val outcome = if (e.sent) brokenOutcome else AttemptTrace.Outcome.NOT_RUN
                trace(home, target, outcome, e.message!!, e.sent)
                if (!e.sent) {
                    call.mayHaveRun = false
                    return SendResult.Unreachable(e.message!!)
                }
                engineHosts.recordUnresponsive(home.address)
                failAsBroken("the home was lost: ${e.message}")
                return SendResult.Completed
            } finally {
                use.end(last)
            }
        }

        private suspend fun turnMessage(
            home: HomeEndpoint,
            previousAt: HomeEndpoint?,
            target: SelectedTarget,
        ): RunTurn =
            RunTurn(
                program = program,
                turn = turn,
                previous = call.head.previous,
                previousAt = previousAt,
                keepsHistory = call.route.retention != null,
                target = target.upstream,
                targetHost = target.gate,
                engineSlots = target.engine?.slots ?: target.upstream.slots,
                tokensPerEvent = table.value?.tokensPerEvent(call.service) ?: 1,
                tokenBudget = call.head.tokenBudget,
                mostTokens = call.head.maxOutputTokens ?: 0,
                promptTokens = call.head.promptTokens ?: 0,
                priority = call.priority,
                timeLeft = call.timeLeft - REPLY_TIME_RESERVE,
                method = call.method,
                path = call.target,
                headers = call.forwarded.map { HeaderField(it.first, it.second) },
                input = call.body,
                finishIn = call.head.finishIn,
                continuation = if (call.route.isResumable) chooseContinuation(home, target) else null,
                unreadTokens = target.unread,
            )

        /** Chooses the upstreams at which the answer may go on, one more than may run the turn since one may refuse it. */
        private suspend fun chooseContinuation(
            home: HomeEndpoint,
            target: SelectedTarget,
        ): TurnContinuation? {
            val runs = call.route.attempts
            if (runs < 2) return null
            val others = ArrayList<TurnTarget>()
            withTimeoutOrNull(MAX_CHOICE_TIME) {
                while (others.size < runs) {
                    val used = excluded + target.upstream.address + others.map { it.engine.address }
                    val next = targets.choose(home, call, prompt, used) ?: break
                    others += TurnTarget(next.upstream, next.gate)
                }
            }
            return TurnContinuation(others, runs)
        }

        /** Forwards [reply] to the caller. Returns true if it is the last reply. */
        private suspend fun forward(
            reply: Message,
            home: HomeEndpoint,
            target: SelectedTarget,
        ): Boolean {
            when (reply) {
                is TurnBegun -> {
                    homes.recordHome(program, home)
                    val headers = reply.headers.map { it.name to it.value }
                    if (CallHeaders.isLeaving(headers)) upstreams.markLeaving(target.upstream)
                    caller.sendHead(reply.status, headers)
                }
                is TurnBytes -> caller.write(reply.bytes)
                is TurnComplete -> {
                    reply.load?.let { engineHosts.recordStatus(home.address, it) }
                    reply.targetLoad?.let { load -> target.gate?.let { engineHosts.recordStatus(it, load) } }
                    targets.recordRun(target, prompt)
                    caller.complete()
                    return true
                }
                is TurnInterrupted -> {
                    trace(home, target, brokenOutcome, reply.reason)
                    homes.recordHome(program, home)
                    failAsBroken(reply.reason)
                    return true
                }
                else -> Unit
            }
            return false
        }

        private suspend fun handleRefusal(
            reply: TurnRefused,
            home: HomeEndpoint,
            target: SelectedTarget,
        ): SendResult {
            val retryDelay = if (target.gate == null) Duration.ZERO else RETRY_DELAY
            when (reply.reason) {
                TurnRefusal.BUDGET_SPENT -> respond(GatewayError.BUDGET_SPENT, reply.detail)
                TurnRefusal.NO_SUCH_TURN -> return handleMissingTurn(reply, home)
                TurnRefusal.NOT_NOW -> respond(GatewayError.NOT_RUN, reply.detail, reply.retryAfter ?: RETRY_AFTER)
                TurnRefusal.TARGET_LEAVES -> {
                    upstreams.markLeaving(target.upstream)
                    excluded += target.upstream.address
                    return SendResult.Retry(reply.detail, retryDelay)
                }
                TurnRefusal.TARGET_GONE, TurnRefusal.TARGET_FULL -> {
                    excluded += target.upstream.address
                    return SendResult.Retry(reply.detail, retryDelay)
                }
                TurnRefusal.NOT_HERE -> {
                    reply.servedBy?.let { return SendResult.Redirected(it) }
                    homes.forgetHome(program)
                    return SendResult.Retry(reply.detail)
                }
            }
            return SendResult.Completed
        }

        /** Handles the refusal of a home that does not have the turn to be continued. Another home may have it. */
        private suspend fun handleMissingTurn(
            reply: TurnRefused,
            home: HomeEndpoint,
        ): SendResult =
            when (val located = homes.findTurn(program.account, call.head.previous!!)) {
                HomeLookup.NoSuchTurn -> {
                    refuseUnknownTurn()
                    SendResult.Completed
                }
                is HomeLookup.Found ->
                    when {
                        located.home.home == home.home -> SendResult.Retry(reply.detail)
                        send(home, located.home) -> SendResult.Completed
                        else -> SendResult.Retry(reply.detail)
                    }
                else -> SendResult.Retry(reply.detail)
            }

        private suspend fun refuseUnknownTurn() {
            respond(GatewayError.NOT_FOUND, "no turn ${call.head.previous} is kept")
        }

        private suspend fun refuseAsNotRun(reason: String) {
            respond(GatewayError.NOT_RUN, reason, RETRY_AFTER)
        }

        private val brokenOutcome: AttemptTrace.Outcome
            get() = if (caller.isStarted) AttemptTrace.Outcome.CUT else AttemptTrace.Outcome.FAILED

        private suspend fun failAsTooLate() {
            if (caller.isStarted) {
                caller.abort("the turn was not answered in time")
            } else {
                respond(GatewayError.TOO_LATE, "the turn was not answered in time")
            }
        }

        private suspend fun failAsBroken(reason: String) {
            if (caller.isStarted) caller.abort(reason) else respond(GatewayError.BROKEN, reason)
        }

        private suspend fun respond(
            error: GatewayError,
            detail: String,
            retryAfter: Duration? = null,
        ) {
            call.trace.detail = detail
            caller.respond(error, detail, turn, retryAfter)
        }
    }

    private companion object {
        val MIN_TIME_LEFT = 30.milliseconds

        /** The home gets this much less time than the caller, so that it can report the time-out itself. */
        val REPLY_TIME_RESERVE = 60.milliseconds

        /**
         * The time within which a lost home is taken over. A turn that waits longer for its home is refused with a
         * retry time.
         */
        val MAX_HOLD_TIME = 1200.milliseconds

        /** About two round trips to engines of other regions. Their loads are mostly known already. */
        val MAX_CHOICE_TIME = 50.milliseconds
        val RETRY_DELAY = 100.milliseconds
        val RETRY_AFTER = 400.milliseconds
    }
}
