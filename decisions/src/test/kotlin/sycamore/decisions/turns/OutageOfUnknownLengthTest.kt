package sycamore.decisions.turns

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against programs that fail in an outage of a few seconds because all attempts of their callers fall into it:
 * each refusal asked them to return in 300 ms.
 */
class OutageOfUnknownLengthTest {
    @Test
    fun `a caller returns soon from an outage that has just begun`() {
        assertEquals(300.milliseconds, OutageRetry.retryAfter(Duration.ZERO, 4.seconds))
        assertEquals(500.milliseconds, OutageRetry.retryAfter(500.milliseconds, 4.seconds))
    }

    @Test
    fun `a caller never waits for more than a third of its time`() {
        assertTrue(OutageRetry.retryAfter(1.minutesOfOutage, 4.seconds) <= 4.seconds / 3)
        assertEquals(300.milliseconds, OutageRetry.retryAfter(1.minutesOfOutage, 0.5.seconds))
    }

    @Test
    fun `six attempts of a caller with four seconds for each pair outlast an outage of five seconds`() {
        var now = 1.seconds
        repeat(6) { now += OutageRetry.retryAfter(now, 4.seconds) }
        assertTrue(now > 5.seconds, "the last attempt is made $now after the outage began")
    }

    private val Int.minutesOfOutage: Duration get() = (this * 60).seconds
}
