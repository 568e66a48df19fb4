package sycamore.decisions.turns

import kotlin.time.Duration

/**
 * A turn that waits for an engine. Times are by the gate's clock.
 *
 * @property number sequence number of the turn's arrival at the gate.
 * @property priority priority of the turn; 0 is the most urgent.
 * @property deadline time until which the caller waits for the answer.
 * @property isContinuation whether the program has had turns before.
 */
data class WaitingTurn(
    val number: Long,
    val priority: Int,
    val deadline: Duration,
    val isContinuation: Boolean,
)

/**
 * Rate at which an engine works through turns.
 *
 * @property turnTime typical time of a turn at the engine.
 * @property slots number of turns that the engine runs at the same time.
 */
data class EnginePace(
    val turnTime: Duration,
    val slots: Int,
) {
    /**
     * Expected time until the turn at [position] of the queue, from 0, starts at an engine whose slots are all in use.
     */
    fun wait(position: Int): Duration = turnTime * (position + 1) / slots
}

/**
 * A turn that cannot be answered within its deadline.
 *
 * @property expectedWait expected time until the turn could start.
 * @property retryAfter time after which a retry can expect to be served.
 */
data class UnservableTurn(
    val turn: WaitingTurn,
    val expectedWait: Duration,
    val retryAfter: Duration,
)

/** Order of the turns that wait for an engine, and selection of those that cannot be served in time. */
object TurnQueue {
    private val order = compareBy<WaitingTurn>({ it.priority }, { !it.isContinuation }, { it.number })

    /** The turn to send next, or null if none waits. */
    fun next(waiting: Collection<WaitingTurn>): WaitingTurn? = waiting.minWithOrNull(order)

    /**
     * Turns that cannot be answered within their deadline while all slots of the engine are in use. Each one's retry
     * time leaves room for all turns before it, including those that are refused.
     */
    fun unservable(
        waiting: Collection<WaitingTurn>,
        now: Duration,
        pace: EnginePace,
    ): List<UnservableTurn> {
        val refused = ArrayList<UnservableTurn>()
        var position = 0
        for (turn in waiting.sortedWith(order)) {
            val wait = pace.wait(position)
            if (now + wait + pace.turnTime * SHORT_TURN_SHARE > turn.deadline) {
                refused += UnservableTurn(turn, wait, pace.wait(position + refused.size))
            } else {
                position++
            }
        }
        return refused
    }

    /**
     * Share of the typical time that short turns take, approximately. A turn is refused only if even a short one would
     * miss its deadline.
     */
    private const val SHORT_TURN_SHARE = 0.5
}
