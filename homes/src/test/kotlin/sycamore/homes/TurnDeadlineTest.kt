package sycamore.homes

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import sycamore.homes.HomeFixture.Companion.address
import sycamore.homes.HomeFixture.Companion.outcome
import sycamore.links.GateStatus
import sycamore.links.GetGateStatus
import sycamore.links.TurnRefusal
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against turns that never reach an engine and are refused only after their gateway has answered 504. */
class TurnDeadlineTest {
    /** The gate counted the time of a turn from its arrival there, not from its arrival at the home. */
    @Test
    fun `a turn that has waited for its program's home waits no longer for a slot than its time`() =
        runTest {
            val fixture = HomeFixture(this)
            (1..3).forEach { fixture.startRetainer(it) }
            for (number in 1..2) {
                fixture.startHome(number)
                while (!(fixture.exchange(address(number), GetGateStatus).first() as GateStatus).isReady) {
                    delay(10.milliseconds)
                }
            }
            fixture.answerTime = 20.seconds
            repeat(2) { launch { fixture.sendTurn(2, "running$it", program = "of-running$it") } }
            delay(2.seconds)
            fixture.unreachable += address(1)
            val startedAt = currentTime
            val turns =
                (1..PROGRAMS).map { number ->
                    async {
                        val message = fixture.runTurnMessage(2, "a$number", program = "q$number")
                        val replies = fixture.exchange(address(2), message.copy(timeLeft = 2.seconds)).toList()
                        replies.outcome() to currentTime - startedAt
                    }
                }
            for ((outcome, time) in turns.awaitAll()) {
                assertEquals(TurnRefusal.NOT_NOW.name, outcome)
                assertTrue(time <= 2.seconds.inWholeMilliseconds + 10, "refused after $time ms")
            }
        }

    private companion object {
        /** Enough that the unreachable home keeps the directory of some of them. */
        const val PROGRAMS = 20
    }
}
