package sycamore.decisions.turns

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A turn that waits for an engine, in times of the gate's clock.
 *
 * @property number of arrival at the gate.
 * @property priority 0 is the most urgent.
 * @property since when it came.
 * @property deadline when its caller gives up.
 * @property finishBy when its program should be finished; null if that is not known.
 * @property isContinuation whether its program has turns behind it.
 * @property work time that it needs at the engine.
 */
data class WaitingTurn(
    val number: Long,
    val priority: Int,
    val since: Duration,
    val deadline: Duration,
    val finishBy: Duration?,
    val isContinuation: Boolean,
    val work: Duration,
)

/** Which waiting turn goes next, and which can be given up. */
object TurnQueue {
    private val order = compareBy<WaitingTurn>({ it.priority }, { !it.isContinuation }, { it.number })

    /** The turn to send next, or null if none waits. */
    fun next(waiting: Collection<WaitingTurn>): WaitingTurn? = waiting.minWithOrNull(order)

    /** Turns that cannot be answered within their deadline any more. */
    fun hopeless(
        waiting: Collection<WaitingTurn>,
        now: Duration,
    ): List<WaitingTurn> = waiting.filter { now + minOf(it.work, LEAST_WORK) > it.deadline }

    /** No turn is answered in less: an engine's first token takes about this long. */
    private val LEAST_WORK = 30.milliseconds
}
