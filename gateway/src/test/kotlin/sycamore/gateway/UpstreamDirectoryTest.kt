package sycamore.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.model.Address
import sycamore.model.ServiceName
import sycamore.platform.SampleDocuments
import sycamore.platform.StoreKeys
import sycamore.services.CallKind
import sycamore.services.Revision
import sycamore.services.keyValueClient
import sycamore.standins.KeyValueStore
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a gateway that overloads the key-value service while a release replaces many upstreams. */
class UpstreamDirectoryTest {
    private val service = ServiceName("s")

    /**
     * Without a pause between reads, each gateway read the list four times a second while a release replaced upstreams.
     */
    @Test
    fun `a gateway reads the list once a second during a release, and has all upstreams a second later`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            val counted = keyValueClient(store) { time = testTimeSource }
            val directory = UpstreamDirectory(counted, testTimeSource)
            backgroundScope.launch { directory.run(backgroundScope) }
            delay(1.seconds)
            val before = counted.counts.count(CallKind.WATCH)
            repeat(80) {
                val entry = SampleDocuments.upstreamEntry(service.value, Address("10.0.0.$it", 1), "p")
                store.put(StoreKeys.UPSTREAMS + "u$it", entry, Revision.ABSENT)
                delay(125.milliseconds)
            }
            delay(1.seconds)
            assertEquals(80, directory.available(service).size)
            val calls = counted.counts.count(CallKind.WATCH) - before
            assertTrue(calls <= 12, "$calls calls in a release of 10 seconds")
        }
}
