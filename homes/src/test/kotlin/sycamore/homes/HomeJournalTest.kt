package sycamore.homes

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.PlaceName
import sycamore.services.KeyValue
import sycamore.services.keyValueClient
import sycamore.standins.FaultyKeyValue
import sycamore.standins.KeyValueStore
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class HomeJournalTest {
    private val home = HomeId(PlaceName("p"), HostName("h"), Incarnation("i"))

    /** Guards against too many calls to the store: during an outage all homes retried five times a second. */
    @Test
    fun `a journal retries about once a second during an outage of the store, and commits soon after it`() =
        runTest {
            val store = FaultyKeyValue(KeyValueStore(testTimeSource), testTimeSource)
            val countingClient = keyValueClient(store) { time = testTimeSource }
            val journal = HomeJournal(home, countingClient, testTimeSource, KeyValue.MAX_VALUE_BYTES) { it }
            backgroundScope.launch { journal.run() }
            delay(1.seconds)
            store.setFaults { it.copy(down = true) }
            journal.appendAdopted(listOf(ByteArray(100)))
            val callsBefore = countingClient.counts.total
            delay(22.seconds)
            val calls = countingClient.counts.total - callsBefore
            assertTrue(calls <= 40, "$calls calls in an outage of 20 seconds")
            store.setFaults { it.copy(down = false) }
            delay(3.seconds)
            assertEquals(journal.lastNumber.value, journal.committedNumber.value)
        }
}
