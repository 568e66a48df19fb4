package sycamore.entry

import sycamore.model.Caller
import sycamore.model.CallerName
import sycamore.model.Digest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Guards against accounts that exceed their limits or cannot use them: when a request stays in progress after its end
 * or ends twice, when each of several entries admits the full rate, or when a published rate takes effect late.
 */
class AccountLimitsTest {
    private val time = TestTimeSource()
    private val caller = Caller(CallerName("c"), "salt", Digest("00"), rate = 4.0, concurrency = 2)

    private fun AccountLimits.pass(caller: Caller) = assertIs<Admission.Admitted>(admit(caller)).close()

    @Test
    fun `a burst of one second passes and the next request waits for its share`() {
        val limits = AccountLimits(entries = 1, time)
        repeat(4) { limits.pass(caller) }
        assertEquals(Admission.TooFast(4.0, 250.milliseconds), limits.admit(caller))
        time += 250.milliseconds
        limits.pass(caller)
        assertEquals(Admission.TooFast(4.0, 250.milliseconds), limits.admit(caller))
    }

    @Test
    fun `requests in progress are counted until they are closed once`() {
        val limits = AccountLimits(entries = 1, time)
        val first = assertIs<Admission.Admitted>(limits.admit(caller))
        assertIs<Admission.Admitted>(limits.admit(caller))
        assertEquals(Admission.TooMany(2), limits.admit(caller))
        repeat(2) { first.close() }
        limits.pass(caller)
        assertIs<Admission.Admitted>(limits.admit(caller))
        assertEquals(Admission.TooMany(2), limits.admit(caller))
    }

    @Test
    fun `each of several entries admits an equal share`() {
        val limits = AccountLimits(entries = 2, time)
        val held = limits.admit(caller)
        assertEquals(Admission.TooMany(1), limits.admit(caller))
        assertIs<Admission.Admitted>(held).close()
        limits.pass(caller)
        assertEquals(Admission.TooFast(2.0, 500.milliseconds), limits.admit(caller))
    }

    @Test
    fun `a published rate takes effect at once, and a rate of zero closes the account`() {
        val limits = AccountLimits(entries = 1, time)
        repeat(4) { limits.pass(caller) }
        repeat(8) { limits.pass(caller.copy(rate = 8.0)) }
        assertEquals(Admission.Closed, limits.admit(caller.copy(rate = 0.0)))
        time += 1.seconds
        limits.pass(caller)
    }
}
