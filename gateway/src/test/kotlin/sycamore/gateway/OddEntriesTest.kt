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
import sycamore.routing.UpstreamId
import sycamore.services.Revision
import sycamore.standins.KeyValueStore
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Guards against a gateway that ends, or no longer follows the store, once another program has written a value there. */
class OddEntriesTest {
    private val service = ServiceName("s")

    private fun entry(number: Int) =
        SampleDocuments.upstreamEntry(service.value, Address("10.0.0.$number", 1), "p").decodeToString()

    /** Values of an entry that is otherwise valid, each of which makes it invalid. */
    private val invalidFields =
        listOf(
            "\"slots\":4294967296",
            "\"slots\":2147483648",
            "\"slots\":4294967297",
            "\"slots\":1e400",
            "\"slots\":NaN",
            "\"slots\":-4",
            "\"slots\":0",
            "\"slots\":1.5",
            "\"slots\":${"9".repeat(50_000)}",
            "\"address\":\"10.0.0.9:0\"",
            "\"address\":\"10.0.0.9:65536\"",
            "\"address\":\"10.0.0.9:99999999999\"",
            "\"address\":\"10.0.0.9:-1\"",
            "\"address\":\":80\"",
            "\"address\":\"10.0.0.9 \\r\\nX: y:80\"",
            "\"address\":\"10.0.0.9\\u0000:80\"",
            "\"service\":\"\"",
            "\"service\":\"s\\n\"",
            "\"state\":null",
        )

    private val unreadable =
        listOf(
            "",
            "null",
            "[]",
            "17",
            "\uFEFF" + entry(9),
            "[".repeat(10_000),
            "[".repeat(1_000_000),
            "{\"a\":".repeat(10_000),
            "{\"a\":".repeat(200_000),
            entry(9).dropLast(1) + ",\"later\":" + "[".repeat(10_000) + "]".repeat(10_000) + "}",
            entry(9).dropLast(1) + ",\"later\":" + "{\"a\":".repeat(10_000) + "1" + "}".repeat(10_000) + "}",
        )

    private suspend fun KeyValueStore.write(
        id: String,
        value: String,
    ) {
        put(StoreKeys.UPSTREAMS + id, value.encodeToByteArray(), Revision.ABSENT)
    }

    @Test
    fun `an odd entry names no upstream, and the entries beside and after it do`() {
        val fields = invalidFields.map { entry(9).dropLast(1) + ",$it}" }
        val failures = (fields + unreadable).mapNotNull { odd -> failureAfter("u4", "u5", odd) }
        val ids = listOf("" to "u/5", "u5\r\nX: y" to "u 5", "u\u0000" to "\u00fc")
        assertEquals(
            emptyList(),
            failures +
                ids.mapNotNull { (first, second) ->
                    failureAfter(first, second, entry(9))
                },
        )
    }

    /**
     * What went wrong once [odd] was written under the ids [first] and [second], between valid entries: the first before
     * the list was read, the second after it; null if nothing did.
     */
    private fun failureAfter(
        first: String,
        second: String,
        odd: String,
    ): String? {
        var found: Any? = null
        val thread =
            Thread(null, {
                found =
                    try {
                        upstreamsBeside(first, second, odd)
                    } catch (e: Throwable) {
                        e::class.simpleName
                    }
            }, "small stack", SMALL_STACK_BYTES)
        thread.start()
        thread.join()
        val expected = listOf("u1", "u2", "u7", "u8").map(::UpstreamId)
        return if (found == expected) null else "${(first + odd).take(160)} of ${odd.length}: $found"
    }

    private fun upstreamsBeside(
        first: String,
        second: String,
        odd: String,
    ): List<UpstreamId> {
        var found = emptyList<UpstreamId>()
        runTest {
            val store = KeyValueStore(testTimeSource)
            val directory = UpstreamDirectory(store, InvalidEntries("upstream", SimpleMeterRegistry()), testTimeSource)
            store.write("u1", entry(1))
            store.write(first, odd)
            store.write("u2", entry(2))
            backgroundScope.launch { directory.run(backgroundScope) }
            delay(2.seconds)
            store.write("u7", entry(7))
            store.write(second, odd)
            delay(2.seconds)
            store.write("u8", entry(8))
            delay(2.seconds)
            found = directory.available(service).map { it.id }.sortedBy { it.value }
        }
        return found
    }

    private companion object {
        /** The stack size of the daemons' threads. */
        const val SMALL_STACK_BYTES = 256L * 1024
    }
}
