package sycamore.decisions.turns

import kotlin.time.Duration

/**
 * A turn that waits for an engine. Times are by the gate's clock.
 *
 * @property number sequence number of the turn's arrival at the gate.
 * @property priority priority of the turn; 0 is the most urgent.
 * @property deadline time until which the caller waits for the answer.
 * @property isContinuation whether the program has had turns before.
 * @property finish time at which the program should be finished; null if the caller named none.
 */
data class WaitingTurn(
    val number: Long,
    val priority: Int,
    val deadline: Duration,
    val isContinuation: Boolean,
    val finish: Duration? = null,
) {
    /** Whether the program is late even if this turn takes [turnTime] from [now] and is the last one. */
    internal fun isLate(
        now: Duration,
        turnTime: Duration,
    ): Boolean = finish != null && now + turnTime > finish
}

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
    /** The turn to send next, or null if none waits. */
    fun next(
        waiting: Collection<WaitingTurn>,
        now: Duration,
        pace: EnginePace,
    ): WaitingTurn? = waiting.minWithOrNull(order(now, pace))

    /**
     * The order of turns: the more urgent first, then programs that can finish in time before those that are late
     * already, then programs under way before new ones, then by the time at which they should be finished. In an
     * overload, some programs are therefore late and the others are not, instead of all being late.
     */
    private fun order(
        now: Duration,
        pace: EnginePace,
    ): Comparator<WaitingTurn> =
        compareBy(
            { it.priority },
            { it.isLate(now, pace.turnTime) },
            { !it.isContinuation },
            // A turn without such a time is all that its caller waits for.
            { it.finish ?: Duration.ZERO },
            { it.number },
        )

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
        for (turn in waiting.sortedWith(order(now, pace))) {
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
