package sycamore.homes

import kotlinx.coroutines.flow.FlowCollector
import sycamore.decisions.pace.EnginePaceLearner
import sycamore.decisions.pace.LearnedPace
import sycamore.decisions.pace.MeasuredTurn
import sycamore.links.Message
import sycamore.links.RunTurn
import sycamore.links.TurnBegun
import sycamore.links.TurnBytes
import sycamore.links.TurnComplete
import sycamore.links.TurnSent
import sycamore.turns.EventBoundary
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Measures the turns at one engine and learns its pace from them.
 *
 * @property running returns the number of turns that the engine processes.
 */
internal class EnginePaceMeter(
    private val time: TimeSource.WithComparableMarks,
    private val running: () -> Int,
) {
    private val start = time.markNow()
    private var learner = EnginePaceLearner()
    private var eventTokens = 1
    private var lastProgress = start

    /** The number of messages that wait for a slow receiver. Meanwhile, nothing is read from their engine. */
    private var blocked = 0

    /** The pace at present; null if no turn has ended. */
    val pace: LearnedPace?
        @Synchronized
        get() {
            val isMeasurable = running() > 0 && blocked == 0
            val quietFor = if (isMeasurable) lastProgress.elapsedNow() else Duration.ZERO
            return learner.pace(start.elapsedNow(), quietFor, eventTokens)
        }

    /** Returns a collector that forwards the messages of the answer to [call] to [replies] and measures them. */
    fun measure(
        call: RunTurn,
        replies: FlowCollector<Message>,
    ): FlowCollector<Message> = MeasuredReplies(call, replies)

    private inner class MeasuredReplies(
        private val call: RunTurn,
        private val replies: FlowCollector<Message>,
    ) : FlowCollector<Message> {
        private val events = EventBoundary()
        private var sentAt = time.markNow()
        private var othersAtStart = 0
        private var headAt: ComparableTimeMark? = null
        private var firstEventAt: ComparableTimeMark? = null
        private var lastEventAt = sentAt
        private var readableSince = sentAt
        private var eventsAtFirst = 0
        private var blockedFor = Duration.ZERO
        private var blockedBeforeLast = Duration.ZERO
        private var isSuccess = false

        override suspend fun emit(value: Message) {
            observe(value)
            val startedAt = time.markNow()
            changeBlocked(1)
            try {
                replies.emit(value)
            } finally {
                changeBlocked(-1)
                val waited = startedAt.elapsedNow()
                readableSince = startedAt + waited
                if (firstEventAt != null) blockedFor += waited
                // While the head waits, for the record of the start to become durable, the first event may arrive.
                if (value is TurnBegun && waited > MAX_BLOCKED) headAt = startedAt
            }
        }

        private fun observe(message: Message) {
            when (message) {
                is TurnSent -> {
                    sentAt = time.markNow()
                    othersAtStart = running() - 1
                    recordSent(call.tokensPerEvent)
                }
                is TurnBegun -> isSuccess = message.status in SUCCESS_STATUSES
                is TurnBytes -> if (isSuccess) observeBytes(message.bytes)
                is TurnComplete -> if (isSuccess) recordEnd()
                else -> Unit
            }
        }

        private fun observeBytes(bytes: ByteArray) {
            val before = events.events
            events.read(bytes)
            val added = events.events - before
            if (added == 0) return
            val now = time.markNow()
            if (firstEventAt == null) {
                firstEventAt = headAt ?: now
                eventsAtFirst = events.events
            } else {
                recordProgress(added * call.tokensPerEvent, now - readableSince)
            }
            lastEventAt = now
            blockedBeforeLast = blockedFor
        }

        private fun recordEnd() {
            val first = firstEventAt ?: return
            val restTime = lastEventAt - first
            if (blockedBeforeLast > restTime * MAX_BLOCKED_SHARE) return
            val tokens = (events.events - eventsAtFirst).toLong() * call.tokensPerEvent
            val others = (othersAtStart + running() - 1) / 2.0
            recordTurn(
                MeasuredTurn(call.unreadTokens ?: 0, tokens, first - sentAt, restTime, others.coerceAtLeast(0.0)),
            )
        }
    }

    @Synchronized
    private fun changeBlocked(by: Int) {
        blocked += by
        lastProgress = time.markNow()
    }

    @Synchronized
    private fun recordSent(tokensPerEvent: Int) {
        eventTokens = tokensPerEvent
        lastProgress = time.markNow()
    }

    @Synchronized
    private fun recordProgress(
        tokens: Int,
        took: Duration,
    ) {
        learner = learner.plusProgress(tokens, took, running() - 1, start.elapsedNow())
    }

    @Synchronized
    private fun recordTurn(turn: MeasuredTurn) {
        if (turn.restTime.isNegative() || turn.firstTime.isNegative()) return
        learner = learner.plus(turn, start.elapsedNow())
    }

    private companion object {
        val SUCCESS_STATUSES = 200..299

        /** Receivers that take longer than this delay what is read from the engine. */
        val MAX_BLOCKED = 10.milliseconds
        const val MAX_BLOCKED_SHARE = 0.1
    }
}
