package sycamore.homes

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.decisions.turns.EnginePace
import sycamore.decisions.turns.TurnQueue
import sycamore.decisions.turns.UnservableTurn
import sycamore.decisions.turns.WaitingTurn
import sycamore.routing.ListedUpstream
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * A turn that requests a slot of an engine.
 *
 * @property timeLeft the time within which the caller expects the answer.
 * @property isContinuation whether the turn continues a previous turn of its program.
 * @property slots the number of turns that the engine processes at once.
 * @property finishIn the time until the program should be finished; null if the caller named none.
 * @property engine the engine as it is registered; null if the turn may be sent to whichever engine the gate has.
 */
internal data class GateTurn(
    val priority: Int,
    val timeLeft: Duration,
    val isContinuation: Boolean,
    val slots: Int,
    val finishIn: Duration? = null,
    val engine: ListedUpstream? = null,
)

/** The decision of a gate on a turn. */
internal sealed interface SlotDecision {
    /** The turn may be sent to the engine. [release] has to be called when the engine has finished it. */
    class Granted(
        val release: () -> Unit,
    ) : SlotDecision

    /** The engine cannot run the turn in time. */
    class Refused(
        val detail: String,
        val retryAfter: Duration,
    ) : SlotDecision

    /** The gate is closed. The engine did not get the turn. */
    data object Closed : SlotDecision

    /** The engine is leaving, so the turn should be sent to another one. */
    data object EngineLeaves : SlotDecision
}

/** The queue in front of one engine. Turns wait in it until the engine has a free slot. */
internal class EngineGate(
    time: TimeSource,
) {
    /** How the wait of a turn in the queue ends. */
    private sealed interface Verdict {
        /** The turn may be sent to the engine. */
        data object Granted : Verdict

        /** The engine cannot run the turn in time. */
        class Unservable(
            val turn: UnservableTurn,
        ) : Verdict

        /** The gate was closed. */
        data object Closed : Verdict

        /** The engine announced that it is leaving. */
        data object EngineLeaves : Verdict
    }

    private class Waiter(
        val turn: WaitingTurn,
        val engine: ListedUpstream?,
    ) {
        val verdict = CompletableDeferred<Verdict>()
    }

    private val start = time.markNow()
    private val lock = ReentrantLock()
    private val waiters = LinkedHashMap<Long, Waiter>()
    private var nextNumber = 0L
    private var slots = DEFAULT_SLOTS
    private var isClosed = false

    /** The number of turns that the engine processes. */
    @Volatile
    var running = 0
        private set

    /** The moving average of the time that the engine takes for a turn. */
    @Volatile
    var turnTime: Duration = INITIAL_TURN_TIME
        private set

    /** The number of turns in the queue. */
    val waiting: Int get() = lock.withLock { waiters.size }

    /** The expected time that a new turn would wait in the queue. */
    val expectedWait: Duration
        get() =
            lock.withLock {
                if (running < slots) Duration.ZERO else turnTime * (waiters.size + 1) / slots
            }

    private val now: Duration get() = start.elapsedNow()

    /** Refuses the turns in the queue and all that come later. Turns that have a slot keep it. */
    fun close() =
        lock.withLock {
            isClosed = true
            queuedTurns().forEach { decide(it, Verdict.Closed) }
        }

    /** Suspends until [turn] may be sent to the engine, or is refused. */
    suspend fun awaitSlot(turn: GateTurn): SlotDecision {
        val waiter = enqueue(turn)
        var isGranted = false
        try {
            withTimeoutOrNull(turn.timeLeft) { waiter.verdict.await() }
            isGranted = dequeue(waiter)
        } finally {
            if (!isGranted && dequeue(waiter)) release()
        }
        if (!isGranted) return refusalOf(waiter, turn)
        val startedAt = now
        return SlotDecision.Granted {
            updateTurnTime(now - startedAt)
            release()
        }
    }

    /** Refuses the waiting turns whose engine [isLeaving]. */
    fun refuseWaiting(isLeaving: (ListedUpstream) -> Boolean) =
        lock.withLock {
            val refused = waiters.values.filter { it.engine?.let(isLeaving) == true }
            refused.forEach { decide(it.turn, Verdict.EngineLeaves) }
        }

    private fun refusalOf(
        waiter: Waiter,
        turn: GateTurn,
    ): SlotDecision =
        when (val verdict = waiter.verdictOrNull()) {
            Verdict.Closed -> SlotDecision.Closed
            Verdict.EngineLeaves -> SlotDecision.EngineLeaves
            is Verdict.Unservable -> {
                val wait = verdict.turn.expectedWait
                val detail = "a slot is expected in $wait, and the caller waits for ${turn.timeLeft}"
                SlotDecision.Refused(detail, verdict.turn.retryAfter)
            }
            else -> SlotDecision.Refused("no slot became free within ${turn.timeLeft}", turnTime)
        }

    private fun Waiter.verdictOrNull(): Verdict? = if (verdict.isCompleted) verdict.getCompleted() else null

    private fun enqueue(turn: GateTurn): Waiter =
        lock.withLock {
            slots = turn.slots
            val now = now
            val number = nextNumber++
            val waiting =
                WaitingTurn(
                    number = number,
                    priority = turn.priority,
                    deadline = now + turn.timeLeft,
                    isContinuation = turn.isContinuation,
                    finish = turn.finishIn?.let { now + it },
                )
            val waiter = Waiter(waiting, turn.engine)
            waiters[number] = waiter
            if (isClosed) {
                decide(waiting, Verdict.Closed)
            } else {
                dispatch()
            }
            waiter
        }

    /** Removes [waiter] from the queue. Returns whether it has got a slot in the meantime. */
    private fun dequeue(waiter: Waiter): Boolean =
        lock.withLock {
            waiters.remove(waiter.turn.number)
            waiter.verdictOrNull() == Verdict.Granted
        }

    private fun release() =
        lock.withLock {
            running--
            dispatch()
        }

    private fun dispatch() {
        while (running < slots) {
            val next = TurnQueue.next(queuedTurns(), now, EnginePace(turnTime, slots)) ?: return
            if (!decide(next, Verdict.Granted)) return
            running++
        }
        for (unservable in TurnQueue.unservable(queuedTurns(), now, EnginePace(turnTime, slots))) {
            decide(unservable.turn, Verdict.Unservable(unservable))
        }
    }

    /** Removes [turn] from the queue with [verdict]. Returns false if it is not in the queue. */
    private fun decide(
        turn: WaitingTurn,
        verdict: Verdict,
    ): Boolean = waiters.remove(turn.number)?.verdict?.complete(verdict) == true

    private fun queuedTurns(): List<WaitingTurn> = waiters.values.map { it.turn }

    private fun updateTurnTime(duration: Duration) {
        turnTime = turnTime * (1 - LAST_TURN_WEIGHT) + duration * LAST_TURN_WEIGHT
    }

    private companion object {
        /** Assumed until the first turn, which carries the engine's actual number of slots. */
        const val DEFAULT_SLOTS = 8

        /** Assumed until the first turn has been measured: a prompt and about 70 tokens at 2.5 ms each. */
        val INITIAL_TURN_TIME = 250.milliseconds

        /** The weight of the last turn in the moving average of the time of a turn. */
        const val LAST_TURN_WEIGHT = 0.1
    }
}
