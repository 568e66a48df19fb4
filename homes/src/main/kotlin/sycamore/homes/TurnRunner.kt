package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.log.event
import sycamore.links.Exchange
import sycamore.links.GetPrompt
import sycamore.links.HomeEndpoint
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.links.Prompt
import sycamore.links.RunTurn
import sycamore.links.TurnBegun
import sycamore.links.TurnBytes
import sycamore.links.TurnComplete
import sycamore.links.TurnInterrupted
import sycamore.links.TurnRefusal
import sycamore.links.TurnRefused
import sycamore.links.TurnSent
import sycamore.turns.EventReader
import sycamore.turns.TurnBroken
import sycamore.turns.TurnFinished
import sycamore.turns.TurnRequest
import sycamore.turns.TurnStart
import sycamore.turns.TurnStarted
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** Runs turns of the programs that live here: keeps their history and budget, and sends them to an engine. */
internal class TurnRunner(
    private val home: TurnHome,
    private val send: SendPrompt,
    private val exchange: Exchange,
    private val spent: SpentPrograms,
    private val meters: TurnMeters,
    private val time: TimeSource,
) {
    /** Runs [call], unless it is refused. */
    fun run(call: RunTurn): Flow<Message> =
        flow {
            if (!call.isRemembered) return@flow RunningTurn(call, null, call.input, this).run()
            when (val place = home.places.of(call.program)) {
                is ProgramPlace.Here -> start(call, place.isRegistered)
                is ProgramPlace.NotNow -> refuse(call, TurnRefusal.NOT_NOW, place.reason, retryAfter = LATER)
                is ProgramPlace.Elsewhere -> {
                    val detail = "the program lives at ${place.home.home}"
                    refuse(call, TurnRefusal.NOT_HERE, detail, servedBy = place.home)
                }
            }
        }

    /** Whether a later turn depends on this one: by the program's budget or its history. */
    private val RunTurn.isRemembered: Boolean get() = keepsHistory || tokenBudget != null

    private suspend fun FlowCollector<Message>.start(
        call: RunTurn,
        isRegistered: Boolean,
    ) {
        val base =
            try {
                basePrompt(call)
            } catch (e: BaseUnknownException) {
                return emit(TurnRefused(TurnRefusal.NOT_NOW, e.message!!, LATER))
            }
        val request =
            TurnRequest(
                call.program,
                call.turn,
                call.previous.takeIf { call.keepsHistory },
                if (call.keepsHistory) call.input else NOTHING,
                call.tokenBudget,
                call.mostTokens,
                isRegistered,
            )
        when (val start = home.table.start(request, base)) {
            is TurnStart.Admitted -> RunningTurn(call, start.record, promptOf(call), this).run()
            is TurnStart.BudgetSpent ->
                refuse(call, TurnRefusal.BUDGET_SPENT, "the budget holds ${start.left} more tokens")
            TurnStart.NoSuchTurn -> refuse(call, TurnRefusal.NO_SUCH_TURN, "no turn ${call.previous} is kept")
            TurnStart.Repeated -> emit(TurnInterrupted("a turn ${call.turn} was started before"))
        }
    }

    private fun promptOf(call: RunTurn): ByteArray =
        if (call.keepsHistory) home.table.prompt(call.program, call.turn) else call.input

    private suspend fun FlowCollector<Message>.refuse(
        call: RunTurn,
        reason: TurnRefusal,
        detail: String,
        retryAfter: Duration? = null,
        servedBy: HomeEndpoint? = null,
    ) {
        meters.refuse(reason.name.lowercase())
        log.event(
            "turn-refused",
            "request" to call.turn,
            "program" to call.program,
            "previous" to call.previous,
            "reason" to reason,
            "detail" to detail,
            "budget" to call.tokenBudget,
            "most" to call.mostTokens,
        )
        if (reason == TurnRefusal.BUDGET_SPENT) {
            withTimeoutOrNull(MARK_LIMIT) { spent.mark(call.program) }
        }
        emit(TurnRefused(reason, detail, retryAfter, servedBy))
    }

    private class BaseUnknownException(
        message: String,
    ) : Exception(message)

    /** The prompt of the turn that [call] continues, if that turn lives at another home. */
    private suspend fun basePrompt(call: RunTurn): ByteArray? {
        val at = call.previousAt?.takeIf { it.home != home.id } ?: return null
        val previous = call.previous ?: return null
        val reply =
            try {
                withTimeoutOrNull(ASK_LIMIT) { exchange(at.address, GetPrompt(previous)).firstOrNull() }
            } catch (e: LinkException) {
                throw BaseUnknownException("the home ${at.home} cannot be reached: ${e.message}")
            }
        return (reply as? Prompt)?.bytes
            ?: throw BaseUnknownException("the home ${at.home} did not tell turn $previous")
    }

    /**
     * A turn that its program's budget holds, until it has ended.
     *
     * @param record of its start; null when nothing of it has to be remembered.
     */
    private inner class RunningTurn(
        private val call: RunTurn,
        private val record: TurnStarted?,
        private val prompt: ByteArray,
        private val replies: FlowCollector<Message>,
    ) {
        private val events = EventReader()
        private var start: Long? = null
        private var isStartSafe = false
        private var isSuccess = false
        private var isEnded = false
        private val arrived = time.markNow()
        private var sentAfter: Duration? = null
        private var begunAfter: Duration? = null

        suspend fun run() {
            var last: Message = TurnInterrupted("the gate did not answer")
            try {
                send(call, prompt).collect { message ->
                    if (message is TurnComplete || message is TurnInterrupted || message is TurnRefused) last = message
                    take(message)
                }
            } catch (e: LinkException) {
                last = if (e.sent) TurnInterrupted("the gate was lost: ${e.message}") else notReached(e)
            } catch (e: HomeEndedException) {
                last =
                    if (start == null) TurnRefused(TurnRefusal.NOT_HERE, e.message!!) else TurnInterrupted(e.message!!)
            } catch (_: NotKeptException) {
                last = TurnInterrupted("the turn's start could not be kept within $SAFE_LIMIT")
            } catch (e: CutOffException) {
                last = TurnInterrupted(e.message!!)
            } catch (e: CancellationException) {
                last = TurnInterrupted("the caller left")
                throw e
            } finally {
                if (!isEnded) breakOff(last)
                meters.end(outcome(last), arrived.elapsedNow())
                logEnd(last)
            }
            replies.emit(last)
        }

        private fun logEnd(last: Message) =
            log.event(
                "turn-ended",
                "request" to call.turn,
                "program" to call.program,
                "previous" to call.previous,
                "engine" to call.target.id,
                "outcome" to outcome(last),
                "detail" to ((last as? TurnInterrupted)?.reason ?: (last as? TurnRefused)?.detail),
                "sent_ms" to sentAfter?.inWholeMilliseconds,
                "begun_ms" to begunAfter?.inWholeMilliseconds,
                "ms" to arrived.elapsedNow().inWholeMilliseconds,
                "events" to events.events,
                "time_left_ms" to call.timeLeft.inWholeMilliseconds,
            )

        private fun outcome(last: Message): String =
            when (last) {
                is TurnComplete -> if (isSuccess) "whole" else "failed"
                is TurnRefused -> "refused"
                else -> "broken"
            }

        private suspend fun take(message: Message) {
            when (message) {
                TurnSent -> {
                    sentAfter = arrived.elapsedNow()
                    start = record?.let(home.journal::append)
                }
                is TurnBegun -> {
                    begunAfter = arrived.elapsedNow().also(meters::begin)
                    isSuccess = message.status in SUCCESSES
                    pass(message)
                }
                is TurnBytes -> {
                    if (isSuccess) events.read(message.bytes)
                    if (events.size > MAX_ANSWER_BYTES) throw CutOffException("the engine's answer has no end")
                    pass(message)
                }
                is TurnComplete -> if (isSuccess) finish()
                else -> Unit
            }
        }

        /** Nothing is passed on until the turn's start is kept: else a successor would not count its tokens. */
        private suspend fun pass(message: Message) {
            if (record != null && !isStartSafe) {
                val number = start ?: home.journal.append(record).also { start = it }
                if (!home.retention.awaitSafe(number, SAFE_LIMIT)) throw NotKeptException()
                isStartSafe = true
            }
            replies.emit(message)
        }

        /** A turn counts from the end of its answer on, so that has to outlive this process first. */
        private suspend fun finish() {
            if (!events.isBetweenEvents) throw CutOffException("the engine's answer ends within an event")
            if (call.keepsHistory && events.events == 0) throw CutOffException("the engine's answer has no event")
            isEnded = true
            if (record == null) return
            val end = TurnFinished(call.program, call.turn, if (call.keepsHistory) events.output else NOTHING, tokens())
            home.table.apply(end)
            val number = home.journal.append(end)
            // Until the end is kept, a successor counts all tokens that the turn reserved. That breaks no budget.
            if (call.keepsHistory && !home.retention.awaitSafe(number, SAFE_LIMIT)) throw NotKeptException()
        }

        private fun breakOff(last: Message) {
            isEnded = true
            if (record == null) return
            if (start == null) {
                home.table.withdraw(call.program, call.turn)
                return
            }
            val record = TurnBroken(call.program, call.turn, if (last is TurnRefused) 0 else tokens())
            home.table.apply(record)
            if (!home.journal.ended.isCompleted) home.journal.append(record)
        }

        private fun tokens(): Long = events.events.toLong() * call.tokensPerEvent

        private fun notReached(e: LinkException) =
            TurnRefused(TurnRefusal.TARGET_GONE, "the gate cannot be reached: ${e.message}", LATER)
    }

    /** What has to be kept before an answer goes on was not kept in time. */
    private class NotKeptException : Exception()

    /** An answer is not whole, though its connection is sound. */
    private class CutOffException(
        message: String,
    ) : Exception(message)

    private companion object {
        val SUCCESSES = 200..299
        val NOTHING = ByteArray(0)

        /** Several times the longest turn; an answer that is longer may have no end. */
        const val MAX_ANSWER_BYTES = 2 * 1024 * 1024

        /** A first refusal waits for the store for this long: a program whose end is not known could begin anew. */
        val MARK_LIMIT = 300.milliseconds
        val ASK_LIMIT = 500.milliseconds
        val LATER = 300.milliseconds

        /** Longer than the store takes to answer when it is slow; a turn that cannot be kept by then is given up. */
        val SAFE_LIMIT = 2.seconds
    }
}
