package sycamore.homes

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.decisions.turns.EnginePace
import sycamore.decisions.turns.TurnQueue
import sycamore.decisions.turns.UnservableTurn
import sycamore.decisions.turns.WaitingTurn
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** What a gate knows of a turn that wants to go to its engine. */
internal data class GateTurn(
    val priority: Int,
    val timeLeft: Duration,
    val isContinuation: Boolean,
    val slots: Int,
)

/** How a gate answers a turn. */
internal sealed interface Passage {
    /** It may go to the engine. [release] has to be called when it is done there. */
    class Granted(
        val release: () -> Unit,
    ) : Passage

    /** It cannot be served in time. */
    class Refused(
        val detail: String,
        val retryAfter: Duration,
    ) : Passage
}

/** The queue before one engine. Holds turns back until the engine has a free slot. */
internal class EngineGate(
    time: TimeSource,
) {
    private class Waiter(
        val turn: WaitingTurn,
    ) {
        /** Completes with null when the turn may go to the engine. */
        val decided = CompletableDeferred<UnservableTurn?>()
    }

    private val start = time.markNow()
    private val lock = ReentrantLock()
    private val waiters = LinkedHashMap<Long, Waiter>()
    private var nextNumber = 0L
    private var slots = DEFAULT_SLOTS

    /** Turns at the engine. */
    @Volatile
    var running = 0
        private set

    /** Typical time of a turn at the engine. */
    @Volatile
    var turnTime: Duration = FIRST_TURN_TIME
        private set

    /** Turns in the queue. */
    val waiting: Int get() = lock.withLock { waiters.size }

    /** Time until a new turn would begin. */
    val expectedWait: Duration
        get() =
            lock.withLock {
                if (running < slots) Duration.ZERO else turnTime * (waiters.size + 1) / slots
            }

    private val now: Duration get() = start.elapsedNow()

    /** Waits until [turn] may go to the engine. */
    suspend fun pass(turn: GateTurn): Passage {
        val waiter = enqueue(turn)
        var isGranted = false
        try {
            withTimeoutOrNull(turn.timeLeft) { waiter.decided.await() }
            isGranted = leave(waiter)
        } finally {
            if (!isGranted && leave(waiter)) release()
        }
        if (!isGranted) return refusal(waiter, turn)
        val began = now
        return Passage.Granted {
            observe(now - began)
            release()
        }
    }

    private fun refusal(
        waiter: Waiter,
        turn: GateTurn,
    ): Passage {
        val unservable = if (waiter.decided.isCompleted) waiter.decided.getCompleted() else null
        if (unservable == null) return Passage.Refused("no slot became free within ${turn.timeLeft}", turnTime)
        val detail = "a slot is expected in ${unservable.expectedWait}, and the caller waits for ${turn.timeLeft}"
        return Passage.Refused(detail, unservable.retryAfter)
    }

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
                )
            Waiter(waiting).also {
                waiters[number] = it
                dispatch()
            }
        }

    /** Takes [waiter] out of the queue; true when it was granted meanwhile. */
    private fun leave(waiter: Waiter): Boolean =
        lock.withLock {
            waiters.remove(waiter.turn.number)
            waiter.decided.isCompleted && waiter.decided.getCompleted() == null
        }

    private fun release() =
        lock.withLock {
            running--
            dispatch()
        }

    private fun dispatch() {
        while (running < slots) {
            val next = TurnQueue.next(turns()) ?: return
            val waiter = waiters.remove(next.number) ?: return
            running++
            waiter.decided.complete(null)
        }
        for (unservable in TurnQueue.unservable(turns(), now, EnginePace(turnTime, slots))) {
            waiters.remove(unservable.turn.number)?.decided?.complete(unservable)
        }
    }

    private fun turns(): List<WaitingTurn> = waiters.values.map { it.turn }

    private fun observe(duration: Duration) {
        turnTime = turnTime * (1 - WEIGHT_OF_LAST) + duration * WEIGHT_OF_LAST
    }

    private companion object {
        /** Until the first turn tells the engine's own number. */
        const val DEFAULT_SLOTS = 8

        /** Until turns were observed: a prompt and some 70 tokens at 2.5 ms each. */
        val FIRST_TURN_TIME = 250.milliseconds
        const val WEIGHT_OF_LAST = 0.1
    }
}
