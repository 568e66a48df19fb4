package sycamore.decisions.turns

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a burst of programs that makes all of them late: when the turns of all programs wait for the same time
 * at each turn, none finishes in time, although there is time enough for most of them.
 */
class BurstOfProgramsTest {
    private val pace = EnginePace(turnTime = 250.milliseconds, slots = 1)

    private class Program(
        val number: Int,
        val finish: Duration,
        var turnsLeft: Int,
    ) {
        var end: Duration? = null
    }

    /** Runs programs of [turns] turns that arrive at once at an engine with one slot; returns how many end in time. */
    private fun finishedInTime(
        programs: Int,
        turns: Int,
        finish: Duration,
    ): Int {
        val all = List(programs) { Program(it, finish + (it * 10).milliseconds, turns) }
        val waiting = ArrayList(all.map { turnOf(it, it.number.toLong()) })
        var now = Duration.ZERO
        var number = programs.toLong()
        while (waiting.isNotEmpty()) {
            val next = TurnQueue.next(waiting, now, pace)!!
            waiting -= next
            now += pace.turnTime
            val program = all.first { it.finish == next.finish }
            program.turnsLeft--
            if (program.turnsLeft > 0) waiting += turnOf(program, number++) else program.end = now
        }
        assertTrue(all.all { it.end != null }, "every program is served in the end")
        return all.count { it.end!! <= it.finish }
    }

    private fun turnOf(
        program: Program,
        number: Long,
    ) = WaitingTurn(number, 0, deadline = 60.seconds, isContinuation = false, finish = program.finish)

    @Test
    fun `half of the programs finish in time where there is time for half of them`() {
        val inTime = finishedInTime(programs = 8, turns = 4, finish = 4.seconds)
        assertTrue(inTime >= 4, "$inTime of 8 programs finish in time")
    }

    @Test
    fun `all programs finish in time where there is time for all`() =
        assertEquals(8, finishedInTime(programs = 8, turns = 4, finish = 8.seconds))

    @Test
    fun `a program that is late already waits for those that can finish in time`() {
        val late = WaitingTurn(1, 0, 9.seconds, isContinuation = false, finish = 5.seconds)
        val inTime = WaitingTurn(2, 0, 9.seconds, isContinuation = false, finish = 7.seconds)
        assertEquals(inTime, TurnQueue.next(listOf(late, inTime), now = 5.seconds, pace))
        assertEquals(late, TurnQueue.next(listOf(late, inTime), now = 4.seconds, pace))
    }

    @Test
    fun `a more urgent program goes first even if it is late`() {
        val urgent = WaitingTurn(2, 0, 9.seconds, isContinuation = false, finish = 1.seconds)
        val other = WaitingTurn(1, 1, 9.seconds, isContinuation = false, finish = 7.seconds)
        assertEquals(urgent, TurnQueue.next(listOf(other, urgent), now = 5.seconds, pace))
    }
}
