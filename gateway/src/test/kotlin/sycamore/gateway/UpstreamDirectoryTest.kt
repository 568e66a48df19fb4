package sycamore.gateway

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.daemon.InvalidEntries
import sycamore.model.Address
import sycamore.model.ServiceName
import sycamore.platform.SampleDocuments
import sycamore.platform.StoreKeys
import sycamore.services.CallKind
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.keyValueClient
import sycamore.standins.KeyValueStore
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a gateway that overloads the key-value service while a release replaces many upstreams, and against one
 * that refuses calls while all upstreams run.
 */
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
            val directory =
                UpstreamDirectory(counted, InvalidEntries("upstream", SimpleMeterRegistry()), testTimeSource)
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

    private suspend fun register(
        store: KeyValueStore,
        number: Int,
        state: String = "ready",
    ) {
        val entry = SampleDocuments.upstreamEntry(service.value, Address("10.0.0.$number", 1), "p", state)
        val key = StoreKeys.UPSTREAMS + "u$number"
        val version = (store.get(key) as ReadResult.Found).value?.version ?: Revision.ABSENT
        store.put(key, entry, version)
    }

    /**
     * The key-value service accepted no renewals for some seconds and kept the watches open, so that its first answer
     * was the removal of all upstreams. Calls were refused until the upstreams had registered again.
     */
    @Test
    fun `upstreams whose registrations lapse during an open watch are used until they register again`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            val directory = UpstreamDirectory(store, InvalidEntries("upstream", SimpleMeterRegistry()), testTimeSource)
            repeat(6) { register(store, it) }
            backgroundScope.launch { directory.run(backgroundScope) }
            delay(5.seconds)
            store.remove(List(6) { StoreKeys.UPSTREAMS + "u$it" })
            delay(100.milliseconds)
            assertEquals(6, directory.available(service).size)
            repeat(5) { register(store, it) }
            delay(1.5.seconds)
            assertEquals(6, directory.available(service).size)
            delay(1.seconds)
            assertEquals(5, directory.available(service).size, "the upstream that did not return has ended")
        }

    /** An upstream that leaves may do so without announcing it: its registration is removed. */
    @Test
    fun `an upstream whose registration alone is removed gets no further calls, nor does one that was leaving`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            val directory = UpstreamDirectory(store, InvalidEntries("upstream", SimpleMeterRegistry()), testTimeSource)
            repeat(6) { register(store, it, state = if (it < 3) "draining" else "ready") }
            backgroundScope.launch { directory.run(backgroundScope) }
            delay(5.seconds)
            store.remove(listOf(StoreKeys.UPSTREAMS + "u5"))
            delay(100.milliseconds)
            assertEquals(2, directory.available(service).size)
            delay(2.seconds)
            store.remove(List(3) { StoreKeys.UPSTREAMS + "u$it" })
            delay(100.milliseconds)
            assertEquals(2, directory.all.size)
        }
}
