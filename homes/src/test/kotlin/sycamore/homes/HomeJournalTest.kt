package sycamore.homes

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.PlaceName
import sycamore.services.keyValueClient
import sycamore.standins.FaultyKeyValue
import sycamore.standins.KeyValueStore
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class HomeJournalTest {
    private val home = HomeId(PlaceName("p"), HostName("h"), Incarnation("i"))

    /** All homes asked five times a second in an outage (calls to the store on days of the grown sites: SHORT). */
    @Test
    fun `a journal whose store is away asks it about once a second, and is committed soon after its return`() =
        runTest {
            val store = FaultyKeyValue(KeyValueStore(testTimeSource), testTimeSource)
            val counted = keyValueClient(store) { time = testTimeSource }
            val journal = HomeJournal(home, counted, testTimeSource) { it }
            backgroundScope.launch { journal.run() }
            delay(1.seconds)
            store.setFaults { it.copy(down = true) }
            journal.adopt(ByteArray(100))
            val before = counted.counts.total
            delay(22.seconds)
            val calls = counted.counts.total - before
            assertTrue(calls <= 40, "$calls calls in an outage of 20 seconds")
            store.setFaults { it.copy(down = false) }
            delay(3.seconds)
            assertEquals(journal.last.value, journal.committed.value)
        }
}
