package sycamore.services

import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against a client that exceeds its rate, or that uses up permits with calls it never sends. */
class RateLimitTest {
    @Test
    fun `a burst passes at once and later permits follow the rate`() =
        runTest {
            val limit = RateLimit(10.0, burst = 5, testTimeSource)
            repeat(25) { assertTrue(limit.acquire(10.seconds)) }
            assertEquals(2_000, currentTime)
        }

    @Test
    fun `a permit that would be available too late is refused at once and does not delay later ones`() =
        runTest {
            val limit = RateLimit(1.0, burst = 1, testTimeSource)
            assertTrue(limit.acquire(Duration.ZERO))
            repeat(100) { assertFalse(limit.acquire(Duration.ZERO)) }
            assertTrue(limit.acquire(1.seconds))
            assertEquals(1_000, currentTime)
        }
}
