package sycamore.homes

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class EngineGateTest {
    @Test
    fun `turns go to the engine at once while it has free slots`() =
        runTest {
            val gate = EngineGate(testTimeSource)
            repeat(2) { assertIs<Passage.Granted>(gate.pass(turn())) }
            assertEquals(0, currentTime)
            assertEquals(2, gate.running)
        }

    @Test
    fun `a turn waits until another one is done`() =
        runTest {
            val gate = EngineGate(testTimeSource)
            val first = List(2) { assertIs<Passage.Granted>(gate.pass(turn())) }
            launch {
                delay(100.milliseconds)
                first.first().release()
            }
            assertIs<Passage.Granted>(gate.pass(turn()))
            assertEquals(100, currentTime)
        }

    /** On scale-2 turns waited for their whole deadline, and were then told that they were not run. */
    @Test
    fun `a turn that cannot be served in time is refused at once and told when to come back`() =
        runTest {
            val gate = EngineGate(testTimeSource)
            repeat(2) { gate.pass(turn()) }
            repeat(20) { launch { gate.pass(turn(timeLeft = 60.seconds)) } }
            runCurrent()
            val refused = assertIs<Passage.Refused>(gate.pass(turn(timeLeft = 1.seconds)))
            assertEquals(0, currentTime)
            assertTrue(refused.retryAfter > 1.seconds, "found ${refused.retryAfter}")
            close()
        }

    @Test
    fun `a caller that leaves makes room`() =
        runTest {
            val gate = EngineGate(testTimeSource)
            val first = List(2) { assertIs<Passage.Granted>(gate.pass(turn())) }
            val left = launch { gate.pass(turn()) }
            runCurrent()
            left.cancel()
            runCurrent()
            assertEquals(0, gate.waiting)
            first.forEach { it.release() }
            assertEquals(0, gate.running)
        }

    @Test
    fun `all of many turns are served one after the other`() =
        runTest {
            val gate = EngineGate(testTimeSource)
            val passages =
                List(10) {
                    async {
                        gate.pass(turn(timeLeft = 60.seconds)).also { passage ->
                            delay(50.milliseconds)
                            assertIs<Passage.Granted>(passage).release()
                        }
                    }
                }.awaitAll()
            assertEquals(10, passages.size)
            assertEquals(250, currentTime)
        }

    private fun TestScope.close() = coroutineContext.job.children.forEach { it.cancel() }

    private fun turn(timeLeft: Duration = 3.seconds) = GateTurn(0, timeLeft, isContinuation = true, slots = 2)
}
