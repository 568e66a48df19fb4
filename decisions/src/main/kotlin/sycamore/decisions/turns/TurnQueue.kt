package sycamore.decisions.turns

import kotlin.time.Duration

/**
 * A turn that waits for an engine, in times of the gate's clock.
 *
 * @property number of arrival at the gate.
 * @property priority 0 is the most urgent.
 * @property deadline when its caller gives up.
 * @property isContinuation whether its program has turns behind it.
 */
data class WaitingTurn(
    val number: Long,
    val priority: Int,
    val deadline: Duration,
    val isContinuation: Boolean,
)

/**
 * How fast an engine takes turns.
 *
 * @property turnTime typical time of a turn at the engine.
 * @property slots turns that it works on at the same time.
 */
data class EnginePace(
    val turnTime: Duration,
    val slots: Int,
) {
    /** Time until the turn at [position], from 0, goes to an engine whose slots are all taken. */
    fun wait(position: Int): Duration = turnTime * (position + 1) / slots
}

/** A turn that cannot be answered within its deadline, and when a repeat could be. */
data class HopelessTurn(
    val turn: WaitingTurn,
    val expectedWait: Duration,
    val retryAfter: Duration,
)

/** Which waiting turn goes next, and which cannot be served in time. */
object TurnQueue {
    private val order = compareBy<WaitingTurn>({ it.priority }, { !it.isContinuation }, { it.number })

    /** The turn to send next, or null if none waits. */
    fun next(waiting: Collection<WaitingTurn>): WaitingTurn? = waiting.minWithOrNull(order)

    /**
     * Turns that cannot be answered within their deadline, while all slots of the engine are taken. Each is told to come
     * back when those before it, refused ones too, will have had their place.
     */
    fun hopeless(
        waiting: Collection<WaitingTurn>,
        now: Duration,
        pace: EnginePace,
    ): List<HopelessTurn> {
        val refused = ArrayList<HopelessTurn>()
        var position = 0
        for (turn in waiting.sortedWith(order)) {
            val wait = pace.wait(position)
            if (now + wait + pace.turnTime * SHORTEST_SHARE > turn.deadline) {
                refused += HopelessTurn(turn, wait, pace.wait(position + refused.size))
            } else {
                position++
            }
        }
        return refused
    }

    /** Short turns take about half of the typical time; only what not even they could meet is refused. */
    private const val SHORTEST_SHARE = 0.5
}
