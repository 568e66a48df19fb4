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

class RateLimitTest {
    @Test
    fun `a burst passes at once and the rest at the rate`() =
        runTest {
            val limit = RateLimit(10.0, burst = 5, testTimeSource)
            repeat(25) { assertTrue(limit.take(10.seconds)) }
            assertEquals(2_000, currentTime)
        }

    @Test
    fun `a permit that would come too late is refused at once and costs nothing`() =
        runTest {
            val limit = RateLimit(1.0, burst = 1, testTimeSource)
            assertTrue(limit.take(Duration.ZERO))
            repeat(100) { assertFalse(limit.take(Duration.ZERO)) }
            assertTrue(limit.take(1.seconds))
            assertEquals(1_000, currentTime)
        }
}
