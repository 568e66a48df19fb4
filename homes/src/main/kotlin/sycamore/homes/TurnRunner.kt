package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.log.event
import sycamore.decisions.turns.OutageRetry
import sycamore.links.Exchange
import sycamore.links.GetPrompt
import sycamore.links.HeaderField
import sycamore.links.HomeEndpoint
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.links.Prompt
import sycamore.links.RunTurn
import sycamore.links.TurnBegun
import sycamore.links.TurnBytes
import sycamore.links.TurnComplete
import sycamore.links.TurnContinuation
import sycamore.links.TurnInterrupted
import sycamore.links.TurnRefusal
import sycamore.links.TurnRefused
import sycamore.links.TurnSent
import sycamore.links.TurnTarget
import sycamore.platform.CallHeaders
import sycamore.routing.ListedUpstream
import sycamore.turns.BrokenSequenceException
import sycamore.turns.EventReader
import sycamore.turns.ResumableStream
import sycamore.turns.TurnBroken
import sycamore.turns.TurnFinished
import sycamore.turns.TurnRequest
import sycamore.turns.TurnStart
import sycamore.turns.TurnStarted
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/**
 * Runs turns of the programs that this home serves: maintains their history and token budget, and sends them to an engine.
 *
 * @property hasLeftSince returns whether an engine has registered as leaving while a turn ran at another one.
 */
internal class TurnRunner(
    private val home: TurnHome,
    private val send: SendPrompt,
    private val hasLeftSince: suspend (received: ComparableTimeMark, engine: ListedUpstream) -> Boolean,
    private val exchange: Exchange,
    private val spent: SpentPrograms,
    private val answers: AnswerMemory,
    private val meters: TurnMeters,
    private val time: TimeSource.WithComparableMarks,
) {
    private val receivedAt = time.markNow()

    /** Runs [call] and returns the replies to the caller. The last one is a refusal if the call cannot run here. */
    fun run(call: RunTurn): Flow<Message> =
        flow {
            if (!call.isRecorded) return@flow RunningTurn(call, null, call.input, this).run()
            when (val place = home.assignments.resolve(call.program, call.timeLeft)) {
                is ProgramAssignment.Here -> start(call, place.isRegistered)
                is ProgramAssignment.Unresolved ->
                    refuse(
                        call,
                        TurnRefusal.NOT_NOW,
                        place.reason,
                        retryAfter = OutageRetry.retryAfter(place.outage, call.timeLeft),
                    )
                is ProgramAssignment.Elsewhere -> {
                    val detail = "the program is served by ${place.home.home}"
                    refuse(call, TurnRefusal.NOT_HERE, detail, servingHome = place.home)
                }
            }
        }

    /** Whether later turns depend on this one, through the history or the token budget of the program. */
    private val RunTurn.isRecorded: Boolean get() = keepsHistory || tokenBudget != null

    private suspend fun FlowCollector<Message>.start(
        call: RunTurn,
        isRegistered: Boolean,
    ) {
        val base =
            try {
                previousPrompt(call)
            } catch (e: PreviousPromptException) {
                return emit(TurnRefused(TurnRefusal.NOT_NOW, e.message!!, RETRY_AFTER))
            }
        val request =
            TurnRequest(
                call.program,
                call.turn,
                call.previous.takeIf { call.keepsHistory },
                if (call.keepsHistory) call.input else EMPTY,
                call.tokenBudget,
                call.mostTokens,
                isRegistered,
            )
        when (val start = home.table.start(request, base)) {
            is TurnStart.Admitted -> RunningTurn(call, start.record, promptOf(call), this).run()
            TurnStart.IncompleteHistory ->
                refuse(call, TurnRefusal.NOT_NOW, "turns before ${call.previous} are missing", retryAfter = RETRY_AFTER)
            is TurnStart.BudgetSpent ->
                refuse(call, TurnRefusal.BUDGET_SPENT, "the budget holds ${start.left} more tokens")
            TurnStart.NoSuchTurn -> refuse(call, TurnRefusal.NO_SUCH_TURN, "no turn ${call.previous} is kept")
            TurnStart.Repeated -> emit(TurnInterrupted("a turn ${call.turn} was started before"))
        }
    }

    private fun promptOf(call: RunTurn): ByteArray =
        if (call.keepsHistory) {
            checkNotNull(home.table.prompt(call.program, call.turn)) { "turns before ${call.turn} are missing" }
        } else {
            call.input
        }

    private suspend fun FlowCollector<Message>.refuse(
        call: RunTurn,
        reason: TurnRefusal,
        detail: String,
        retryAfter: Duration? = null,
        servingHome: HomeEndpoint? = null,
    ) {
        meters.countRefused(reason.name.lowercase())
        log.event(
            "turn-refused",
            "request" to call.turn,
            "program" to call.program,
            "previous" to call.previous,
            "reason" to reason,
            "detail" to detail,
            "budget" to call.tokenBudget,
            "most" to call.mostTokens,
            isExceptional = true,
        )
        if (reason == TurnRefusal.BUDGET_SPENT) {
            withTimeoutOrNull(SPENT_MARK_TIMEOUT) { spent.mark(call.program) }
        }
        emit(TurnRefused(reason, detail, retryAfter, servingHome))
    }

    private class PreviousPromptException(
        message: String,
    ) : Exception(message)

    /** Returns the prompt of the turn that [call] continues if another home serves that turn; else null. */
    private suspend fun previousPrompt(call: RunTurn): ByteArray? {
        val at = call.previousAt?.takeIf { it.home != home.id } ?: return null
        val previous = call.previous ?: return null
        val question = GetPrompt(previous, call.program.account)
        val reply =
            try {
                withTimeoutOrNull(PROMPT_TIMEOUT) { exchange(at.address, question).firstOrNull() }
            } catch (e: LinkException) {
                throw PreviousPromptException("the home ${at.home} cannot be reached: ${e.message}")
            }
        return (reply as? Prompt)?.bytes
            ?: throw PreviousPromptException("the home ${at.home} did not return the prompt of turn $previous")
    }

    /**
     * A turn in progress, for which the budget of its program has room.
     *
     * @param record the record of its start; null if no later turn depends on this one.
     */
    private inner class RunningTurn(
        private val call: RunTurn,
        private val record: TurnStarted?,
        private val prompt: ByteArray,
        private val replies: FlowCollector<Message>,
    ) {
        private val events = EventReader()
        private var startNumber: Long? = null
        private var isStartDurable = false
        private var isSuccess = false
        private var isEnded = false
        private val arrivedAt = time.markNow()
        private var timeToSend: Duration? = null
        private var timeToBegin: Duration? = null

        /** The events of an answer that may go on at another engine; null if it must not. */
        private var stream = call.continuation?.let { ResumableStream() }
        private var runs = 1

        suspend fun run() = answers.open().use { run(it) }

        private suspend fun run(answer: AnswerMemory.Answer) {
            var last: Message = unanswered
            try {
                last = if (hasTargetLeft()) refusalOfLeaving() else sendTo(call, answer)
                call.continuation?.let { last = resume(last, it, answer) }
            } catch (e: LinkException) {
                last = if (e.sent) TurnInterrupted("the gate was lost: ${e.message}") else refusalOfUnreachable(e)
            } catch (e: HomeEndedException) {
                // The gate of another host does not wait for this home before it sends the turn.
                val isSent = timeToSend != null
                last = if (isSent) TurnInterrupted(e.message!!) else TurnRefused(TurnRefusal.NOT_HERE, e.message!!)
            } catch (_: NotDurableException) {
                last = TurnInterrupted("the turn's start could not be kept within $DURABILITY_TIMEOUT")
            } catch (e: AnswerException) {
                last = TurnInterrupted(e.message!!)
            } catch (e: BrokenSequenceException) {
                last = TurnInterrupted(e.message!!)
            } catch (e: CancellationException) {
                last = TurnInterrupted("the caller left")
                throw e
            } finally {
                if (!isEnded) recordBroken(last)
                meters.recordEnded(outcome(last), arrivedAt.elapsedNow())
                logEnd(last)
            }
            replies.emit(last)
        }

        /**
         * Whether an upstream without a gate has registered as leaving while the turn waited here, for its program or the prompt that it
         * continues. A gate checks this itself.
         */
        private suspend fun hasTargetLeft(): Boolean = call.targetHost == null && hasLeftSince(receivedAt, call.target)

        /** Sends the turn to the engine of [target]. Returns the last message of the answer. */
        private suspend fun sendTo(
            target: RunTurn,
            answer: AnswerMemory.Answer,
        ): Message {
            var last: Message = unanswered
            send(target.copy(timeLeft = timeLeft, continuation = null), prompt).collect { message ->
                when {
                    message is TurnComplete && stream?.isBetweenEvents == false ->
                        last = TurnInterrupted("the engine's answer ends within an event")
                    else -> {
                        val endsTurn = message is TurnComplete || message is TurnInterrupted || message is TurnRefused
                        if (endsTurn) last = message
                        handle(message, answer)
                    }
                }
            }
            return last
        }

        private val timeLeft: Duration get() = call.timeLeft - receivedAt.elapsedNow()

        /**
         * Sends the rest of an answer that broke off, of which [first] was the last message, to the engines of [continuation], one
         * after the other. Returns the last message of the answer, which is no refusal once an engine may have run the turn.
         *
         * The connection to an engine that broke off is closed. If its gate was lost or ended without an answer, the engine may still
         * work on the turn, so that it does not go on.
         */
        private suspend fun resume(
            first: Message,
            continuation: TurnContinuation,
            answer: AnswerMemory.Answer,
        ): Message {
            var last = first
            for (target in continuation.targets) {
                if (last !is TurnInterrupted || runs >= continuation.runs || timeLeft < MIN_TIME_TO_RESUME) break
                val events = stream?.takeIf { it.isResumable && last !== unanswered } ?: break
                if (hasLeftSince(receivedAt, target.engine)) continue
                events.dropRest()
                val next =
                    try {
                        sendTo(resumedAt(target, events.lastId), answer)
                    } catch (e: LinkException) {
                        if (e.sent) return TurnInterrupted("the gate was lost: ${e.message}")
                        continue
                    }
                if (next is TurnRefused) continue
                runs++
                meters.countResumed()
                last = next
            }
            return last
        }

        private fun resumedAt(
            target: TurnTarget,
            lastId: Long?,
        ): RunTurn {
            val headers = call.headers.map { it.name to it.value }
            val resumed = if (lastId == null) headers else CallHeaders.continueAfter(headers, lastId)
            return call.copy(
                target = target.engine,
                targetHost = target.host,
                headers = resumed.map { HeaderField(it.first, it.second) },
            )
        }

        private fun logEnd(last: Message) =
            log.event(
                "turn-ended",
                "request" to call.turn,
                "program" to call.program,
                "previous" to call.previous,
                "engine" to call.target.id,
                "outcome" to outcome(last),
                "refusal" to (last as? TurnRefused)?.reason,
                "detail" to ((last as? TurnInterrupted)?.reason ?: (last as? TurnRefused)?.detail),
                "sent_ms" to timeToSend?.inWholeMilliseconds,
                "begun_ms" to timeToBegin?.inWholeMilliseconds,
                "ms" to arrivedAt.elapsedNow().inWholeMilliseconds,
                "events" to events.events,
                "resumed" to (runs - 1).takeIf { it > 0 },
                "time_left_ms" to call.timeLeft.inWholeMilliseconds,
                isExceptional = last !is TurnComplete || !isSuccess,
            )

        private fun outcome(last: Message): String =
            when (last) {
                is TurnComplete -> if (isSuccess) "whole" else "failed"
                is TurnRefused -> "refused"
                else -> "broken"
            }

        private suspend fun handle(
            message: Message,
            answer: AnswerMemory.Answer,
        ) {
            when (message) {
                TurnSent -> {
                    if (timeToSend == null) timeToSend = arrivedAt.elapsedNow()
                    if (startNumber == null) startNumber = record?.let(home.journal::append)
                }
                is TurnBegun -> begin(message)
                is TurnBytes -> {
                    val bytes = stream?.read(message.bytes) ?: message.bytes
                    if (isSuccess) events.read(bytes)
                    val size = events.size + (stream?.restSize ?: 0)
                    if (size > MAX_ANSWER_BYTES) throw AnswerException("the engine's answer is too long")
                    if (!answer.resize(size)) throw AnswerException("the answers in progress are too long")
                    if (bytes.isNotEmpty()) forward(TurnBytes(bytes))
                }
                is TurnComplete -> {
                    stream?.rest?.takeIf { it.isNotEmpty() }?.let { forward(TurnBytes(it)) }
                    if (isSuccess) recordFinished()
                }
                else -> Unit
            }
        }

        /** Passes on the first head of the answer. One of an engine at which it goes on must be that of a stream, too. */
        private suspend fun begin(head: TurnBegun) {
            val isStream =
                head.status in SUCCESS_STATUSES && CallHeaders.isEventStream(head.headers.map { it.name to it.value })
            if (timeToBegin != null) {
                if (!isStream) {
                    throw AnswerException(
                        "the engine answered ${head.status} instead of the rest of the events",
                    )
                }
                return
            }
            if (!isStream) stream = null
            timeToBegin = arrivedAt.elapsedNow().also(meters::recordBegun)
            isSuccess = head.status in SUCCESS_STATUSES
            forward(head)
        }

        /**
         * Passes [message] on to the caller once the start of the turn is durable. Otherwise a successor of this home would not count
         * the tokens of the turn.
         */
        private suspend fun forward(message: Message) {
            if (record != null && !isStartDurable) {
                val number = startNumber ?: home.journal.append(record).also { startNumber = it }
                if (!home.retention.awaitDurable(number, DURABILITY_TIMEOUT)) throw NotDurableException()
                isStartDurable = true
            }
            replies.emit(message)
        }

        /** Records the end of a complete answer. The record has to be durable before the caller may rely on the turn. */
        private suspend fun recordFinished() {
            if (!events.isBetweenEvents) throw AnswerException("the engine's answer ends within an event")
            if (call.keepsHistory && events.events == 0) throw AnswerException("the engine's answer has no event")
            isEnded = true
            if (record == null) return
            val end =
                TurnFinished(call.program, call.turn, if (call.keepsHistory) events.output else EMPTY, answerTokens())
            home.table.apply(end)
            val number = home.journal.append(end)
            // Until this record is durable, a successor counts all tokens that the turn reserved, which exceeds no budget. So only
            // the history has to wait for it.
            if (call.keepsHistory &&
                !home.retention.awaitDurable(number, DURABILITY_TIMEOUT)
            ) {
                throw NotDurableException()
            }
        }

        private fun recordBroken(last: Message) {
            isEnded = true
            if (record == null) return
            val didRun = startNumber != null && last !is TurnRefused
            val end = TurnBroken(call.program, call.turn, if (didRun) answerTokens() else 0)
            if (didRun) home.table.apply(end) else home.table.withdraw(call.program, call.turn)
            if (startNumber != null && !home.journal.ended.isCompleted) home.journal.append(end)
        }

        private fun answerTokens(): Long = events.events.toLong() * call.tokensPerEvent

        private fun refusalOfLeaving() = TurnRefused(TurnRefusal.TARGET_LEAVES, "${call.target.id} leaves")

        private fun refusalOfUnreachable(e: LinkException) =
            TurnRefused(TurnRefusal.TARGET_GONE, "the gate cannot be reached: ${e.message}", RETRY_AFTER)
    }

    /** Thrown when a record that has to be durable before the answer goes on is not durable in time. */
    private class NotDurableException : Exception()

    /** Thrown when an answer is malformed or too long although its connection did not fail. */
    private class AnswerException(
        message: String,
    ) : Exception(message)

    private companion object {
        val SUCCESS_STATUSES = 200..299
        val EMPTY = ByteArray(0)
        val unanswered = TurnInterrupted("the gate did not answer")

        /** Several times the size of the longest answer. An engine whose answer is longer may never end it. */
        const val MAX_ANSWER_BYTES = 2 * 1024 * 1024

        /**
         * How long a refusal waits for the key-value service to mark the program as spent. Without the mark, another home could give
         * the program its budget again.
         */
        val SPENT_MARK_TIMEOUT = 300.milliseconds

        /** Below this, the rest of an answer does not arrive in time. */
        val MIN_TIME_TO_RESUME = 50.milliseconds
        val PROMPT_TIMEOUT = 500.milliseconds
        val RETRY_AFTER = 300.milliseconds

        /** Longer than the key-value service takes to respond when it is slow. A turn whose records are not durable by then fails. */
        val DURABILITY_TIMEOUT = 2.seconds
    }
}
