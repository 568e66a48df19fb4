package sycamore.decisions

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against the eviction of caches that are needed again soon, which costs their prefill once more, and against a
 * wrong view of an upstream's cache after events that are lost or late.
 */
class RetentionTest {
    private val short = PausedProgram("short", 100, expected = 1.seconds, since = Duration.ZERO)
    private val long = PausedProgram("long", 100, expected = 30.seconds, since = Duration.ZERO)
    private val overdue = PausedProgram("overdue", 100, expected = 1.seconds, since = (-60).seconds)

    @Test
    fun `the programs with the longest expected remaining pause are evicted first`() {
        val victims = Retention.victims(listOf(short, long, overdue), needed = 150, now = Duration.ZERO)
        assertEquals(listOf("overdue", "long"), victims.map { it.program })
    }

    @Test
    fun `a cache is held only while its program is expected back soon`() {
        val limit = Retention.holdLimit(1.milliseconds, 10_000, running = 8, capacity = 8, waited = Duration.ZERO)
        assertEquals(10.seconds, limit)
        assertEquals(100, Retention.heldTokens(listOf(short, long, overdue), limit, Duration.ZERO))
        assertEquals(
            Duration.ZERO,
            Retention.holdLimit(1.milliseconds, 10_000, running = 0, capacity = 8, waited = Duration.ZERO),
        )
    }

    @Test
    fun `pauses are estimated per tool`() {
        val estimated = (1..100).fold(PauseEstimates()) { estimates, _ -> estimates.observed("charge", 2.seconds) }
        assertEquals(2.seconds, estimated.expected("charge"))
        assertEquals(PauseEstimates.DEFAULT, estimated.expected("other"))
    }

    @Test
    fun `a gap in event numbers requires a listing, which late events and older listings do not change`() {
        val start = Residency().afterListing(10, mapOf("a" to 5L))
        assertFalse(start.needsListing)
        val gap = start.after(listOf(ResidencyEvent(11, "a", 7), ResidencyEvent(13, "b", 3)))
        assertTrue(gap.needsListing)
        val listed = gap.afterListing(15, mapOf("b" to 4L))
        assertFalse(listed.needsListing)
        assertEquals(listed, listed.after(listOf(ResidencyEvent(12, "a", 9))))
        assertEquals(listed, listed.afterListing(14, mapOf("a" to 1L)))
    }
}
