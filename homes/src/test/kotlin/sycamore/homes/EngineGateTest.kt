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

/**
 * Guards against an [EngineGate] that exceeds the slots of its engine, loses a slot when a caller cancels, or keeps
 * turns in the queue that the engine cannot run in time.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class EngineGateTest {
    @Test
    fun `turns are sent to the engine at once while it has free slots`() =
        runTest {
            val gate = EngineGate(testTimeSource)
            repeat(2) { assertIs<SlotDecision.Granted>(gate.awaitSlot(turn())) }
            assertEquals(0, currentTime)
            assertEquals(2, gate.running)
        }

    @Test
    fun `a turn waits until another turn has released its slot`() =
        runTest {
            val gate = EngineGate(testTimeSource)
            val first = List(2) { assertIs<SlotDecision.Granted>(gate.awaitSlot(turn())) }
            launch {
                delay(100.milliseconds)
                first.first().release()
            }
            assertIs<SlotDecision.Granted>(gate.awaitSlot(turn()))
            assertEquals(100, currentTime)
        }

    /**
     * Guards against turns that wait in the queue for their whole deadline and are refused only then, without having
     * run.
     */
    @Test
    fun `a turn that cannot be served in time is refused at once with a retry delay`() =
        runTest {
            val gate = EngineGate(testTimeSource)
            repeat(2) { gate.awaitSlot(turn()) }
            repeat(20) { launch { gate.awaitSlot(turn(timeLeft = 60.seconds)) } }
            runCurrent()
            val refused = assertIs<SlotDecision.Refused>(gate.awaitSlot(turn(timeLeft = 1.seconds)))
            assertEquals(0, currentTime)
            assertTrue(refused.retryAfter > 1.seconds, "found ${refused.retryAfter}")
            cancelChildren()
        }

    @Test
    fun `a turn whose caller cancels is removed from the queue`() =
        runTest {
            val gate = EngineGate(testTimeSource)
            val first = List(2) { assertIs<SlotDecision.Granted>(gate.awaitSlot(turn())) }
            val cancelled = launch { gate.awaitSlot(turn()) }
            runCurrent()
            cancelled.cancel()
            runCurrent()
            assertEquals(0, gate.waiting)
            first.forEach { it.release() }
            assertEquals(0, gate.running)
        }

    @Test
    fun `many queued turns are all served as slots become free`() =
        runTest {
            val gate = EngineGate(testTimeSource)
            val decisions =
                List(10) {
                    async {
                        gate.awaitSlot(turn(timeLeft = 60.seconds)).also { decision ->
                            delay(50.milliseconds)
                            assertIs<SlotDecision.Granted>(decision).release()
                        }
                    }
                }.awaitAll()
            assertEquals(10, decisions.size)
            assertEquals(250, currentTime)
        }

    private fun TestScope.cancelChildren() = coroutineContext.job.children.forEach { it.cancel() }

    private fun turn(timeLeft: Duration = 3.seconds) = GateTurn(0, timeLeft, isContinuation = true, slots = 2)
}
