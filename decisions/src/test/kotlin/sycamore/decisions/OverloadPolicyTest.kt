package sycamore.decisions

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against failures under overload: work on running programs that is wasted because new ones take their place, a
 * broken upstream that still gets calls, and retries that multiply the load.
 */
class OverloadPolicyTest {
    private val policy = OverloadPolicy(maxQueued = 10, newProgramShare = 0.5, newProgramMaxWait = 10.seconds)

    @Test
    fun `new programs are shed before turns of running ones`() {
        assertIs<OverloadDecision.Shed>(policy.decide(isNew = true, queued = 5, Duration.ZERO, 60.seconds))
        assertIs<OverloadDecision.Enqueue>(policy.decide(isNew = false, queued = 5, Duration.ZERO, 60.seconds))
        val full = policy.decide(isNew = false, queued = 10, Duration.ZERO, 60.seconds)
        assertEquals("expected at most 10 calls in the queue, found 10", assertIs<OverloadDecision.Shed>(full).reason)
    }

    @Test
    fun `a new program that cannot be answered in time is refused at once with a time to retry`() {
        val shed = policy.decide(isNew = true, queued = 0, wait = 5.seconds, timeLeft = 2.seconds)
        assertEquals(5.seconds, assertIs<OverloadDecision.Shed>(shed).retryAfter)
    }

    @Test
    fun `a breaker opens after failures in a row and one probe closes it`() {
        var breaker: Breaker = Breaker.Closed()
        repeat(Breaker.THRESHOLD) { breaker = breaker.failed(Duration.ZERO) }
        assertFalse(breaker.allows(Duration.ZERO))
        assertTrue(breaker.allows(Breaker.FIRST_PAUSE))
        breaker = breaker.sent(Breaker.FIRST_PAUSE)
        assertFalse(breaker.allows(Breaker.FIRST_PAUSE), "a second probe was sent")
        val again = breaker.failed(Breaker.FIRST_PAUSE)
        assertEquals(Breaker.FIRST_PAUSE * 2, assertIs<Breaker.Open>(again).pause)
        assertEquals(Breaker.Closed(), breaker.succeeded())
    }

    @Test
    fun `a late success of a call sent before the breaker opened does not close it`() {
        val open = Breaker.Open(until = 1.seconds, pause = 1.seconds)
        assertEquals(open, open.succeeded())
    }

    @Test
    fun `retries are limited to a share of the calls`() {
        var budget = RetryBudget()
        repeat(RetryBudget.MAX_TOKENS.toInt()) { budget = assertNotNull(budget.retried()) }
        assertNull(budget.retried())
        repeat(11) { budget = budget.called() }
        assertNotNull(budget.retried())
    }
}
