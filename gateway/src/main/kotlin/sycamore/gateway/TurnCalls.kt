package sycamore.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
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
import sycamore.links.TurnInterrupted
import sycamore.links.TurnRefusal
import sycamore.links.TurnRefused
import sycamore.platform.CallHeaders
import sycamore.routing.AttemptId
import sycamore.routing.EngineProfile
import sycamore.routing.ProgramName
import sycamore.routing.UpstreamId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** Sends turns of programs to their homes and passes the answers on. */
internal class TurnCalls(
    private val homes: ProgramHomes,
    private val choice: EngineChoice,
    private val board: EngineBoard,
    private val upstreams: UpstreamDirectory,
    private val engines: (AcceptedCall) -> EngineProfile?,
    private val exchange: Exchange,
    private val meters: CallMeters,
    private val time: TimeSource,
) {
    /** Serves [call], a turn of [program] named [turn]. */
    suspend fun serve(
        caller: CallerExchange,
        call: AcceptedCall,
        program: ProgramName,
        turn: AttemptId,
    ) = Attempts(caller, call, program, turn).run()

    /** How sending a turn to a home ended. */
    private sealed interface Sent {
        /** The caller has its last word. */
        data object Done : Sent

        /** The turn did not run, since its program lives at [home]. */
        class Redirected(
            val home: HomeEndpoint,
        ) : Sent

        /** The turn did not run; it may be sent elsewhere. */
        class Elsewhere(
            val reason: String,
        ) : Sent

        /** The home cannot be reached, and never got the turn. */
        class Unreachable(
            val reason: String,
        ) : Sent
    }

    private inner class Attempts(
        private val caller: CallerExchange,
        private val call: AcceptedCall,
        private val program: ProgramName,
        private val turn: AttemptId,
    ) {
        private val excluded = HashSet<UpstreamId>()
        private var lastReason = "no engine takes turns"
        private val arrived = time.markNow()

        suspend fun run() {
            while (held < HOLD && call.timeLeft > LEAST_TIME) {
                when (val located = withTimeoutOrNull(HOLD - held) { locate() }) {
                    null -> lastReason = "the program's home was not found in time"
                    Located.NoSuchTurn -> return noSuchTurn()
                    is Located.NotNow -> {
                        lastReason = located.reason
                        delay(PAUSE)
                    }
                    is Located.At -> if (send(located.home, previousAt = null)) return
                    is Located.Nowhere -> {
                        val home = choice.newHome(call.service, excluded)
                        if (home == null) {
                            delay(PAUSE)
                        } else if (send(home, located.previousAt)) {
                            return
                        }
                    }
                }
            }
            notNow(lastReason)
        }

        /** How long the turn has waited here. */
        private val held: Duration get() = arrived.elapsedNow()

        private suspend fun locate(): Located {
            val home = homes.known(program)
            val previous = call.head.previous
            return when {
                home != null -> Located.At(home)
                previous == null -> Located.Nowhere(previousAt = null)
                else -> homes.locate(program, previous)
            }
        }

        /** Sends the turn to [home]; true when the caller has its answer. */
        private suspend fun send(
            home: HomeEndpoint,
            previousAt: HomeEndpoint?,
        ): Boolean {
            val target = choice.target(home, call.service, excluded)
            if (target == null) {
                lastReason = "no engine of ${call.service} takes turns"
                delay(PAUSE)
                return false
            }
            return when (val sent = sendTo(home, target, message(previousAt, target))) {
                Sent.Done -> true
                is Sent.Redirected -> {
                    homes.learn(program, sent.home)
                    if (previousAt == null) false else send(sent.home, previousAt)
                }
                is Sent.Elsewhere -> {
                    lastReason = sent.reason
                    meters.sendAgain("refused")
                    log.event("turn-sent-elsewhere", "request" to turn, "home" to home.home, "detail" to sent.reason)
                    delay(PAUSE)
                    false
                }
                is Sent.Unreachable -> {
                    lastReason = sent.reason
                    meters.sendAgain("unreachable")
                    log.event("home-unreachable", "request" to turn, "home" to home.home, "detail" to sent.reason)
                    board.lost(home.address)
                    if (homes.known(program) == home) {
                        withTimeoutOrNull(HOLD - held) { homes.takeOver(home) } ?: delay(PAUSE)
                    } else {
                        excluded += target.upstream.id
                    }
                    false
                }
            }
        }

        private suspend fun sendTo(
            home: HomeEndpoint,
            target: EngineHost,
            message: RunTurn,
        ): Sent {
            board.placed(target.address)
            call.trace.home = home.home
            call.trace.upstream = target.upstream.id
            call.trace.sends++
            var sent: Sent = Sent.Done
            var isAnswered = false
            try {
                val isInTime =
                    withTimeoutOrNull(call.timeLeft) {
                        exchange(home.address, message).collect { reply ->
                            when (reply) {
                                is TurnRefused -> {
                                    sent = refused(reply, home, target)
                                    isAnswered = true
                                }
                                else -> isAnswered = pass(reply, home, target) || isAnswered
                            }
                        }
                        true
                    }
                if (isInTime == null) {
                    tooLate()
                } else if (!isAnswered) {
                    broke("the home ended without an answer")
                }
                return sent
            } catch (e: LinkException) {
                if (!e.sent) return Sent.Unreachable(e.message!!)
                board.lost(home.address)
                broke("the home was lost: ${e.message}")
                return Sent.Done
            }
        }

        private fun message(
            previousAt: HomeEndpoint?,
            target: EngineHost,
        ): RunTurn {
            val profile = engines(call)
            return RunTurn(
                program = program,
                turn = turn,
                previous = call.head.previous,
                previousAt = previousAt,
                keepsHistory = call.route.retention != null,
                target = target.upstream,
                targetHost = target.address,
                engineSlots = profile?.slots ?: target.upstream.slots,
                tokensPerEvent = profile?.tokensPerEvent ?: 1,
                tokenBudget = call.head.tokenBudget,
                mostTokens = call.head.maxOutputTokens ?: 0,
                promptTokens = call.head.promptTokens ?: 0,
                priority = call.route.priority,
                timeLeft = call.timeLeft - MARGIN,
                method = call.method,
                path = call.target,
                headers = call.forwarded.map { HeaderField(it.first, it.second) },
                input = call.body,
            )
        }

        /** Passes [reply] on; true when it is the last one. */
        private suspend fun pass(
            reply: Message,
            home: HomeEndpoint,
            target: EngineHost,
        ): Boolean {
            when (reply) {
                is TurnBegun -> {
                    homes.learn(program, home)
                    val headers = reply.headers.map { it.name to it.value }
                    if (CallHeaders.isLeaving(headers)) upstreams.leaves(target.upstream)
                    caller.begin(reply.status, headers)
                }
                is TurnBytes -> caller.write(reply.bytes)
                is TurnComplete -> {
                    reply.load?.let { board.learn(home.address, it) }
                    caller.end()
                    return true
                }
                is TurnInterrupted -> {
                    homes.learn(program, home)
                    broke(reply.reason)
                    return true
                }
                else -> Unit
            }
            return false
        }

        private suspend fun refused(
            reply: TurnRefused,
            home: HomeEndpoint,
            target: EngineHost,
        ): Sent {
            when (reply.reason) {
                TurnRefusal.BUDGET_SPENT -> answer(OwnAnswer.BUDGET_SPENT, reply.detail)
                TurnRefusal.NO_SUCH_TURN -> return missing(reply, home)
                TurnRefusal.NOT_NOW -> {
                    answer(OwnAnswer.NOT_RUN, reply.detail, reply.retryAfter ?: RETRY_AFTER)
                }
                TurnRefusal.TARGET_LEAVES -> {
                    upstreams.leaves(target.upstream)
                    return Sent.Elsewhere(reply.detail)
                }
                TurnRefusal.TARGET_GONE -> {
                    excluded += target.upstream.id
                    return Sent.Elsewhere(reply.detail)
                }
                TurnRefusal.NOT_HERE -> {
                    reply.servedBy?.let { return Sent.Redirected(it) }
                    homes.forget(program)
                    return Sent.Elsewhere(reply.detail)
                }
            }
            return Sent.Done
        }

        /** The program's home does not have the turn that this one continues; another home may. */
        private suspend fun missing(
            reply: TurnRefused,
            home: HomeEndpoint,
        ): Sent =
            when (val located = homes.findTurn(call.head.previous!!)) {
                Located.NoSuchTurn -> {
                    noSuchTurn()
                    Sent.Done
                }
                is Located.At ->
                    when {
                        located.home.home == home.home -> Sent.Elsewhere(reply.detail)
                        send(home, located.home) -> Sent.Done
                        else -> Sent.Elsewhere(reply.detail)
                    }
                else -> Sent.Elsewhere(reply.detail)
            }

        private suspend fun noSuchTurn() {
            answer(OwnAnswer.NOT_FOUND, "no turn ${call.head.previous} is kept")
        }

        private suspend fun notNow(reason: String) {
            answer(OwnAnswer.NOT_RUN, reason, RETRY_AFTER)
        }

        private suspend fun tooLate() {
            if (caller.isBegun) {
                caller.cut("the turn was not answered in time")
            } else {
                answer(OwnAnswer.TOO_LATE, "the turn was not answered in time")
            }
        }

        private suspend fun broke(reason: String) {
            if (caller.isBegun) caller.cut(reason) else answer(OwnAnswer.BROKEN, reason)
        }

        private suspend fun answer(
            answer: OwnAnswer,
            detail: String,
            retryAfter: Duration? = null,
        ) {
            call.trace.detail = detail
            caller.answer(answer, detail, turn, retryAfter)
        }
    }

    private companion object {
        val LEAST_TIME = 30.milliseconds

        /** The home answers by itself this much before the caller's time is over. */
        val MARGIN = 60.milliseconds

        /** A lost home is taken over within this time; a turn that waits longer for its home is told to come back. */
        val HOLD = 1200.milliseconds
        val PAUSE = 100.milliseconds
        val RETRY_AFTER = 400.milliseconds
    }
}
