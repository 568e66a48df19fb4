package sycamore.decisions.upstreams

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against calls that are refused although all upstreams run: their registrations lapsed in an outage of the
 * key-value service, which an open watch did not notice.
 */
class RegistrationsLapseTogetherTest {
    private fun mayBeRunning(
        missing: Int,
        registered: Int,
        outage: Duration = Duration.ZERO,
    ) = MissingRegistrations.mayBeRunning(missing, registered, outage)

    @Test
    fun `upstreams that disappear together may be running, although the watch did not fail`() {
        assertTrue(mayBeRunning(missing = 64, registered = 64))
        assertTrue(mayBeRunning(missing = 6, registered = 17))
    }

    @Test
    fun `upstreams that a release or a scale-in removes have ended`() {
        assertFalse(mayBeRunning(missing = 1, registered = 17))
        assertFalse(mayBeRunning(missing = 3, registered = 17))
        assertFalse(mayBeRunning(missing = 2, registered = 3))
    }

    @Test
    fun `an upstream that is missing after an outage may be running`() {
        assertTrue(mayBeRunning(missing = 1, registered = 17, outage = 3.seconds))
        assertFalse(mayBeRunning(missing = 1, registered = 17, outage = 0.5.seconds))
    }

    @Test
    fun `nothing is kept while none is missing`() = assertFalse(mayBeRunning(0, 17, outage = 9.seconds))
}
