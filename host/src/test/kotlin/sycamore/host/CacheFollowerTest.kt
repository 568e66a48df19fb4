package sycamore.host

import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.decisions.ResidencyEvent
import sycamore.decisions.UpstreamLimits
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a gate that decides by a wrong view of the engine's cache. The view goes wrong if a missing event is
 * not noticed, or if the view is dropped while the engine does not respond.
 */
class CacheFollowerTest {
    private var events: List<ResidencyEvent>? = emptyList()
    private var listing: CacheState? = CacheState(5, mapOf("a" to 50L))
    private var listings = 0

    @Test
    fun `events update the view of the cache and a missing event causes a full listing`() =
        runTest {
            val queue = GateQueue(GateRules(UpstreamLimits(1, 1_000)), testTimeSource)
            val follower =
                CacheFollower(
                    queue,
                    events = { after -> events?.filter { it.number > after } },
                    listing = { listing.also { listings++ } },
                    period = 1.seconds,
                )
            backgroundScope.launch { follower.run() }
            runCurrent()
            assertEquals(50, queue.residentTokens("a"))

            events = listOf(ResidencyEvent(6, "b", 10))
            testScheduler.advanceTimeBy(1.seconds)
            runCurrent()
            assertEquals(10, queue.residentTokens("b"))

            events = listOf(ResidencyEvent(8, "c", 10))
            listing = CacheState(9, mapOf("b" to 10L, "c" to 20L))
            testScheduler.advanceTimeBy(2.seconds)
            runCurrent()
            assertEquals(listOf(0L, 10L, 20L), listOf("a", "b", "c").map(queue::residentTokens))
            assertEquals(2, listings)
        }

    @Test
    fun `the view of the cache stays unchanged while the engine does not respond`() =
        runTest {
            val queue = GateQueue(GateRules(UpstreamLimits(1, 1_000)), testTimeSource)
            queue.updateResidency { it.afterListing(1, mapOf("a" to 5L)) }
            events = null
            listing = null
            backgroundScope.launch { CacheFollower(queue, { events }, { listing }).run() }
            testScheduler.advanceTimeBy(5.seconds)
            assertEquals(5, queue.residentTokens("a"))
        }
}
