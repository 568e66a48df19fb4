package sycamore.homes

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.PlaceName
import sycamore.routing.ProgramName
import sycamore.services.CallKind
import sycamore.services.keyValueClient
import sycamore.standins.FaultyKeyValue
import sycamore.standins.KeyValueStore
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SpentProgramsTest {
    private val home = HomeId(PlaceName("p"), HostName("h"), Incarnation("i1"))
    private val successor = home.copy(incarnation = Incarnation("i2"))

    /** Guards against a second provisional turn at another home, or none at all after a reservation whose answer was lost. */
    @Test
    fun `the provisional turn of a program is reserved for one home only, also if the answer is lost`() =
        runTest {
            val store = FaultyKeyValue(KeyValueStore(testTimeSource), testTimeSource)
            val spent = SpentPrograms(store, backgroundScope)
            val program = ProgramName("program")
            store.setFaults { it.copy(lostAnswers = 1) }
            assertFalse(spent.reserveProvisionalTurn(program, home), "no reservation without an answer")
            assertFalse(spent.reserveProvisionalTurn(program, successor))
            assertTrue(spent.reserveProvisionalTurn(program, home))
            spent.mark(program)
            assertFalse(spent.reserveProvisionalTurn(program, home))
        }

    /**
     * Guards against one retry loop per spent program during an outage of the key-value service. Each program then
     * repeated its own call (5,298 calls in a day on an enlarged site) instead of sharing a batch.
     */
    @Test
    fun `programs that spend their budgets during an outage of the store cost few calls, and are marked after it`() =
        runTest {
            val store = FaultyKeyValue(KeyValueStore(testTimeSource), testTimeSource)
            val counted = keyValueClient(store) { time = testTimeSource }
            val spent = SpentPrograms(counted, backgroundScope)
            val programs = List(100) { ProgramName("program-$it") }
            store.setFaults { it.copy(down = true) }
            programs.forEach { backgroundScope.launch { spent.mark(it) } }
            delay(10.seconds)
            store.setFaults { it.copy(down = false) }
            delay(2.seconds)
            val calls = counted.counts.count(CallKind.PUT)
            assertTrue(calls <= 30, "$calls calls for 100 programs in an outage of 10 seconds")
            assertTrue(programs.none { spent.reserveProvisionalTurn(it, home) })
        }

    /**
     * Guards against turns that wait for a silent store until their callers leave: reading a mark took as long as the
     * store's own time limit, two seconds.
     */
    @Test
    fun `a store that does not answer delays the decision on a turn by a few hundred milliseconds`() =
        runTest {
            val store = FaultyKeyValue(KeyValueStore(testTimeSource), testTimeSource)
            val spent = SpentPrograms(store, backgroundScope)
            store.setFaults { it.copy(delay = 10.seconds) }
            val began = testTimeSource.markNow()
            assertFalse(spent.reserveProvisionalTurn(ProgramName("program"), home), "no reservation without an answer")
            assertTrue(began.elapsedNow() < 500.milliseconds, "the decision took ${began.elapsedNow()}")
        }
}
