package sycamore.programs

import sycamore.model.CallId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TestTimeSource

/**
 * Guards against a call that is sent to the upstream twice: it is repeated, barred, older than the retention period, or
 * arrives when the ledger is full.
 */
class CallLedgerTest {
    private val time = TestTimeSource()
    private val ledger = CallLedger<String>(retention = 30.minutes, maxCalls = 2, time = time)
    private val call = CallId("call")

    @Test
    fun `a call is entered as new only once`() {
        assertEquals(EnterResult.New("first"), enter("first"))
        assertEquals(EnterResult.Known("first"), enter("second"))
    }

    @Test
    fun `a barred call never runs and a call that ran is not barred`() {
        assertEquals(BarResult.Barred, ledger.bar(call))
        assertEquals(EnterResult.Barred, enter("first"))

        ledger.enter(CallId("other"), Duration.ZERO) { "other" }
        assertEquals(BarResult.Known("other"), ledger.bar(CallId("other")))
    }

    @Test
    fun `a call older than the retention period is refused`() {
        enter("first")
        time += 30.minutes
        ledger.expire { false }

        assertEquals(0, ledger.size)
        assertEquals(EnterResult.TooOld, ledger.enter(call, 30.minutes) { "again" })
    }

    @Test
    fun `a call that is still running is not removed`() {
        enter("first")
        time += 31.minutes
        ledger.expire { it == "first" }

        assertEquals(EnterResult.Known("first"), ledger.enter(call, 31.minutes) { "again" })
    }

    @Test
    fun `a full ledger refuses new calls and removes none`() {
        enter("first")
        ledger.enter(CallId("second"), Duration.ZERO) { "second" }

        assertEquals(EnterResult.Full, ledger.enter(CallId("third"), Duration.ZERO) { "third" })
        assertEquals(EnterResult.Known("first"), enter("again"))
    }

    private fun enter(value: String) = ledger.enter(call, Duration.ZERO) { value }
}
