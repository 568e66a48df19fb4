package sycamore.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import sycamore.daemon.log.warning
import sycamore.model.Decoded
import sycamore.services.Item
import sycamore.services.Revision
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/**
 * Decodes the entries of one [kind] in the key-value service, and logs and counts those that are not valid.
 *
 * An invalid entry is decoded and counted once for each of its versions, and logged when it becomes invalid or its
 * reason changes.
 */
class InvalidEntries(
    private val kind: String,
    registry: MeterRegistry,
) {
    private class Entry(
        val version: Revision,
        val reason: String,
    )

    private val counter = registry.counter(METER, "kind", kind)
    private val invalid = ConcurrentHashMap<String, Entry>()

    /** Decodes [item] with [decode]; null if it is deleted or not valid. */
    fun <T> decode(
        item: Item,
        decode: (Item) -> Decoded<T>,
    ): T? {
        if (item.value == null) {
            invalid -= item.key
            return null
        }
        if (invalid[item.key]?.version == item.version) return null
        return when (val decoded = decode(item)) {
            is Decoded.Valid -> decoded.value.also { invalid -= item.key }
            is Decoded.Invalid -> null.also { record(item, decoded.reason) }
        }
    }

    private fun record(
        item: Item,
        reason: String,
    ) {
        counter.increment()
        if (invalid.size >= MAX_ENTRIES) invalid.clear()
        val previous = invalid.put(item.key, Entry(item.version, reason))
        if (previous?.reason == reason || invalid.size > MAX_LOGGED_ENTRIES) return
        log.warning(
            "entry-invalid",
            "kind" to kind,
            "key" to item.key.take(MAX_LOGGED_CHARS),
            "detail" to reason.take(MAX_LOGGED_CHARS),
        )
    }

    private companion object {
        const val METER = "sycamore.entries.invalid"

        /** Maximum number of invalid entries that are remembered. */
        const val MAX_ENTRIES = 10_000

        /** While more entries than this are invalid, further ones are only counted. */
        const val MAX_LOGGED_ENTRIES = 100
        const val MAX_LOGGED_CHARS = 200
    }
}
