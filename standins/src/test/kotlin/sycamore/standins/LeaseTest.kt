package sycamore.standins

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.services.Lease
import sycamore.services.LeaseState
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against two holders of one lease, which could occur when a holder is paused beyond the end of its lease
 * or when the answer to a renewal is lost.
 */
class LeaseTest {
    @Test
    fun `a paused holder no longer counts as holding its lease before another one can acquire it`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            val first = Lease(store, "l", byteArrayOf(1), 10.seconds, testTimeSource)
            val second = Lease(store, "l", byteArrayOf(2), 10.seconds, testTimeSource)
            assertTrue(first.acquireOrRenew())
            assertFalse(second.acquireOrRenew())
            delay(9.seconds)
            assertFalse(first.isHeld)
            assertFalse(second.acquireOrRenew())
            delay(1.seconds)
            assertTrue(second.acquireOrRenew())
            assertFalse(first.acquireOrRenew())
            val fence = assertIs<LeaseState.Held>(second.current.value).fence
            second.release()
            assertTrue(first.acquireOrRenew())
            assertTrue(assertIs<LeaseState.Held>(first.current.value).fence > fence)
        }

    @Test
    fun `an attempt whose answer was lost does not count as holding the lease`() =
        runTest {
            val keys = FaultyKeyValue(KeyValueStore(testTimeSource), testTimeSource)
            val lease = Lease(keys, "l", byteArrayOf(1), 10.seconds, testTimeSource)
            keys.setFaults { it.copy(lostAnswers = 1) }
            assertFalse(lease.acquireOrRenew())
            assertFalse(lease.acquireOrRenew())
            assertTrue(lease.acquireOrRenew())
            val fence = assertIs<LeaseState.Held>(lease.current.value).fence
            delay(5.seconds)
            assertTrue(lease.acquireOrRenew())
            assertEquals(fence, assertIs<LeaseState.Held>(lease.current.value).fence)
        }
}
