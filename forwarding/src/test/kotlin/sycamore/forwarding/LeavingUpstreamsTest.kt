package sycamore.forwarding

import sycamore.model.Address
import sycamore.model.PlaceName
import sycamore.model.ServiceName
import sycamore.routing.ListedUpstream
import sycamore.routing.UpstreamId
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Instant

class LeavingUpstreamsTest {
    private var now = Instant.fromEpochMilliseconds(1000)

    private val leaving =
        LeavingUpstreams(
            object : Clock {
                override fun now() = now
            },
        )

    private fun upstream(bornMillis: Long?) =
        ListedUpstream(
            id = UpstreamId("u"),
            service = ServiceName("s"),
            address = Address("10.0.0.1", 1),
            place = PlaceName("p"),
            isLeaving = false,
            slots = 1,
            bornMillis = bornMillis,
        )

    /**
     * Guards against calls to a leaving upstream whose last start the list showed only after the upstream had announced that
     * it leaves, or showed without the time of that start.
     */
    @Test
    fun `each start before the announcement is leaving`() {
        assertTrue(leaving.add(upstream(bornMillis = 100)))
        assertFalse(leaving.add(upstream(bornMillis = 100)))
        for (born in listOf(100L, 900L, 1000L, null)) {
            assertTrue(upstream(born) in leaving, "started at $born")
        }
    }

    /** Guards against an upstream that gets no calls after it has started again under its former id. */
    @Test
    fun `a start after the announcement is not leaving until it announces it too`() {
        leaving.add(upstream(bornMillis = 100))
        assertFalse(upstream(bornMillis = 1001) in leaving)
        now = Instant.fromEpochMilliseconds(2000)
        assertTrue(leaving.add(upstream(bornMillis = 1001)))
        assertTrue(upstream(bornMillis = 1001) in leaving)
    }

    /** Guards against an announcement that has no effect on a host whose clock is behind. */
    @Test
    fun `the start that announces it is leaving although the clock is behind`() {
        leaving.add(upstream(bornMillis = 5000))
        assertTrue(upstream(bornMillis = 5000) in leaving)
        assertFalse(upstream(bornMillis = 5001) in leaving)
    }
}
