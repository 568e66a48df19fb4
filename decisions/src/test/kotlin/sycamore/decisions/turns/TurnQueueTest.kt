package sycamore.decisions.turns

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against turns that wait although they cannot be answered in time, and against callers that retry too early.
 */
class TurnQueueTest {
    private val pace = EnginePace(turnTime = 400.milliseconds, slots = 4)

    @Test
    fun `the more urgent turn goes first, then running programs, then the order of arrival`() {
        val waiting =
            listOf(
                turn(1, priority = 1, isContinuation = true),
                turn(2, isContinuation = false),
                turn(3, isContinuation = true),
                turn(4, isContinuation = true),
            )
        val order = generateSequence(waiting) { left -> left - next(left)!! }.takeWhile { it.isNotEmpty() }
        assertEquals(listOf(3L, 4L, 2L, 1L), order.map { next(it)!!.number }.toList())
    }

    @Test
    fun `there is no next turn when none waits`() = assertNull(next(emptyList()))

    /** In a burst of requests of one kind, turns waited until their deadline and were refused only then. */
    @Test
    fun `a burst is refused from the first position that cannot be served in time`() {
        val waiting = (0..9L).map { turn(it, deadline = 800.milliseconds) }
        val refused = TurnQueue.unservable(waiting, now = Duration.ZERO, pace)
        assertEquals((6..9L).toList(), refused.map { it.turn.number })
        assertEquals(700.milliseconds, refused.first().expectedWait)
    }

    @Test
    fun `retry times of refused turns follow one another`() {
        val waiting = (0..9L).map { turn(it, deadline = 800.milliseconds) }
        val refused = TurnQueue.unservable(waiting, now = Duration.ZERO, pace)
        assertEquals(listOf(700, 800, 900, 1000), refused.map { it.retryAfter.inWholeMilliseconds.toInt() })
    }

    @Test
    fun `the refusal of a turn with little time left shortens the wait of those behind it`() {
        val waiting = listOf(turn(1, deadline = 200.milliseconds), turn(2, deadline = 350.milliseconds))
        val refused = TurnQueue.unservable(waiting, now = Duration.ZERO, pace)
        assertEquals(listOf(1L), refused.map { it.turn.number })
    }

    @Test
    fun `turns that can be served in time are not refused`() {
        val waiting = (0..9L).map { turn(it, deadline = 10.seconds) }
        assertEquals(emptyList(), TurnQueue.unservable(waiting, now = 5.seconds, pace))
    }

    private fun next(waiting: List<WaitingTurn>) = TurnQueue.next(waiting, now = Duration.ZERO, pace)

    private fun turn(
        number: Long,
        priority: Int = 0,
        deadline: Duration = 3.seconds,
        isContinuation: Boolean = true,
    ) = WaitingTurn(number, priority, deadline, isContinuation)
}
