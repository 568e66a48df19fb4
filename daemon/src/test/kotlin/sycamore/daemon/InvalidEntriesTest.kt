package sycamore.daemon

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import sycamore.model.Decoded
import sycamore.services.Item
import sycamore.services.Revision
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against an invalid entry that is parsed and reported anew at each read of its list. */
class InvalidEntriesTest {
    private val registry = SimpleMeterRegistry()
    private val entries = InvalidEntries("upstream", registry)
    private val decoded = ArrayList<Item>()

    private fun read(
        text: String?,
        version: Long,
        key: String = "k",
    ) = entries.decode(Item(key, text?.encodeToByteArray(), Revision(version))) {
        decoded += it
        val value = it.value!!.decodeToString()
        if (value == "odd") Decoded.Invalid("odd") else Decoded.Valid(value)
    }

    private fun count() = registry.counter("sycamore.entries.invalid", "kind", "upstream").count()

    @Test
    fun `an invalid entry is decoded and counted once for each version`() {
        repeat(3) { assertNull(read("odd", version = 1)) }
        assertEquals(1, decoded.size)
        assertNull(read("odd", version = 2))
        assertEquals(2.0, count())
        assertEquals("good", read("good", version = 3))
        assertNull(read(null, version = 4))
        assertEquals("good", read("good", version = 5))
        assertEquals(2.0, count())
    }

    @Test
    fun `many invalid entries are all counted, and valid ones among them are decoded`() {
        repeat(25_000) { assertNull(read("odd", version = 1, key = "k$it")) }
        assertEquals("good", read("good", version = 1, key = "valid"))
        assertEquals(25_000.0, count())
    }
}
