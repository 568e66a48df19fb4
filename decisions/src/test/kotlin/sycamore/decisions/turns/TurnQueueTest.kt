package sycamore.decisions.turns

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TurnQueueTest {
    private val pace = EnginePace(turnTime = 400.milliseconds, slots = 4)

    @Test
    fun `the more urgent goes first, then running programs, then whoever came first`() {
        val waiting =
            listOf(
                turn(1, priority = 1, isContinuation = true),
                turn(2, isContinuation = false),
                turn(3, isContinuation = true),
                turn(4, isContinuation = true),
            )
        val order = generateSequence(waiting) { left -> left - TurnQueue.next(left)!! }.takeWhile { it.isNotEmpty() }
        assertEquals(listOf(3L, 4L, 2L, 1L), order.map { TurnQueue.next(it)!!.number }.toList())
    }

    @Test
    fun `nobody goes when nobody waits`() = assertNull(TurnQueue.next(emptyList()))

    /** A burst of one kind of request: turns waited for their whole deadline and were refused then. */
    @Test
    fun `a burst is refused from the place on at which it cannot be served in time`() {
        val waiting = (0..9L).map { turn(it, deadline = 800.milliseconds) }
        val refused = TurnQueue.hopeless(waiting, now = Duration.ZERO, pace)
        assertEquals((6..9L).toList(), refused.map { it.turn.number })
        assertEquals(700.milliseconds, refused.first().expectedWait)
    }

    @Test
    fun `refused callers are told to come back in turn`() {
        val waiting = (0..9L).map { turn(it, deadline = 800.milliseconds) }
        val refused = TurnQueue.hopeless(waiting, now = Duration.ZERO, pace)
        assertEquals(listOf(700, 800, 900, 1000), refused.map { it.retryAfter.inWholeMilliseconds.toInt() })
    }

    @Test
    fun `a turn with little time left makes way for those behind it`() {
        val waiting = listOf(turn(1, deadline = 200.milliseconds), turn(2, deadline = 350.milliseconds))
        val refused = TurnQueue.hopeless(waiting, now = Duration.ZERO, pace)
        assertEquals(listOf(1L), refused.map { it.turn.number })
    }

    @Test
    fun `what can be served is never refused`() {
        val waiting = (0..9L).map { turn(it, deadline = 10.seconds) }
        assertEquals(emptyList(), TurnQueue.hopeless(waiting, now = 5.seconds, pace))
    }

    private fun turn(
        number: Long,
        priority: Int = 0,
        deadline: Duration = 3.seconds,
        isContinuation: Boolean = true,
    ) = WaitingTurn(number, priority, deadline, isContinuation)
}
