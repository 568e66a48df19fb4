package sycamore.forwarding

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that are taken in a planned stop and get no answer before its end. */
class PlannedStopTest {
    private fun stopTest(
        timeout: Duration = 8.seconds,
        test: suspend TestScope.(PlannedStop) -> Unit,
    ) = runTest {
        val stop = PlannedStop({ timeout }, testTimeSource)
        val steps = launch { stop.run { awaitCancellation() } }
        testScheduler.runCurrent()
        test(stop)
        steps.cancel()
    }

    @Test
    fun `nothing is limited before a stop`() =
        runTest {
            val stop = PlannedStop({ 8.seconds }, testTimeSource)
            delay(1.hours)
            assertTrue(stop.admits(1.hours))
            assertEquals(Duration.INFINITE, stop.timeLeft)
            assertEquals(1, stop.untilFinalAnswers { 1 })
        }

    @Test
    fun `all requests are admitted until callers leave, and then those that end before the final answers`() =
        stopTest { stop ->
            assertTrue(stop.admits(1.hours))
            stop.awaitCallersLeave()
            delay(1.milliseconds)
            assertTrue(stop.admits(stop.timeLeft))
            assertFalse(stop.admits(stop.timeLeft + 1.milliseconds))
        }

    @Test
    fun `in a short stop callers have half of the time to leave and final answers a tenth`() =
        stopTest(timeout = 1.seconds) { stop ->
            assertEquals(900.milliseconds, stop.timeLeft)
            stop.awaitCallersLeave()
            assertEquals(400.milliseconds, stop.timeLeft)
        }

    @Test
    fun `work ends when final answers are due, and later work does not begin`() =
        stopTest { stop ->
            val work = async { stop.untilFinalAnswers { awaitCancellation() } }
            delay(stop.timeLeft + 1.milliseconds)
            assertTrue(work.isCompleted)
            assertNull(work.await())
            assertNull(stop.untilFinalAnswers<Unit> { error("the work began") })
        }

    @Test
    fun `work that is cancelled by its caller is not taken for work that ended at the final answers`() =
        stopTest { stop ->
            var isEndedByStop = false
            val caller =
                launch {
                    stop.untilFinalAnswers { awaitCancellation() }
                    isEndedByStop = true
                }
            testScheduler.runCurrent()
            caller.cancel()
            delay(stop.timeLeft + 1.milliseconds)
            assertFalse(isEndedByStop)
        }
}
