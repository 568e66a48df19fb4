package sycamore.programs

import sycamore.model.CallId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TestTimeSource

class CallLedgerTest {
    private val time = TestTimeSource()
    private val ledger = CallLedger<String>(retention = 30.minutes, maxCalls = 2, time = time)
    private val call = CallId("call")

    @Test
    fun `a call is new once`() {
        assertEquals(Entering.New("first"), enter("first"))
        assertEquals(Entering.Known("first"), enter("second"))
    }

    @Test
    fun `a barred call never runs and a call that ran is not barred`() {
        assertEquals(Barring.Barred, ledger.bar(call))
        assertEquals(Entering.Barred, enter("first"))

        ledger.enter(CallId("other"), Duration.ZERO) { "other" }
        assertEquals(Barring.Known("other"), ledger.bar(CallId("other")))
    }

    @Test
    fun `a call older than the ledger's memory is refused`() {
        enter("first")
        time += 30.minutes
        ledger.expire { false }

        assertEquals(0, ledger.size)
        assertEquals(Entering.TooOld, ledger.enter(call, 30.minutes) { "again" })
    }

    @Test
    fun `a call that still runs is not forgotten`() {
        enter("first")
        time += 31.minutes
        ledger.expire { it == "first" }

        assertEquals(Entering.Known("first"), ledger.enter(call, 31.minutes) { "again" })
    }

    @Test
    fun `a full ledger turns new calls away and forgets none`() {
        enter("first")
        ledger.enter(CallId("second"), Duration.ZERO) { "second" }

        assertEquals(Entering.Full, ledger.enter(CallId("third"), Duration.ZERO) { "third" })
        assertEquals(Entering.Known("first"), enter("again"))
    }

    private fun enter(value: String) = ledger.enter(call, Duration.ZERO) { value }
}
