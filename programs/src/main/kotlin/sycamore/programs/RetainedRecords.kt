package sycamore.programs

import sycamore.model.HomeId
import java.util.concurrent.atomic.AtomicLong

/**
 * Records of other homes, retained until those homes have committed them.
 *
 * @param maxBytes the maximum total size of the retained records, as measured by [approximateBytes].
 */
class RetainedRecords(
    private val maxBytes: Long = MAX_BYTES,
) {
    private class Shard {
        val records = HashMap<HomeId, HashMap<Long, NumberedRecord>>()
        val ended = HashSet<HomeId>()
        val seen = HashSet<HomeId>()
    }

    private val shards = Shards { Shard() }
    private val bytes = AtomicLong()

    /** The total size of the retained records in bytes. */
    val size: Long get() = bytes.get()

    /**
     * Retains [records] of [home] and discards those numbered up to [committed].
     *
     * Returns false, and retains none of [records], when [home] has ended or they would exceed the maximum size.
     */
    fun retain(
        home: HomeId,
        committed: Long,
        records: List<NumberedRecord>,
    ): Boolean =
        shards.withShard(home) { shard ->
            if (home in shard.ended) return@withShard false
            shard.seen += home
            val retained = shard.records.getOrPut(home) { HashMap() }
            retained.keys.filter { it <= committed }.forEach { number -> remove(retained, number) }
            val added = records.filter { it.number > committed && it.number !in retained }
            val addedBytes = added.sumOf { it.record.approximateBytes }
            if (bytes.get() + addedBytes > maxBytes) return@withShard false
            added.forEach { retained[it.number] = it }
            bytes.addAndGet(addedBytes)
            true
        }

    /** Marks [home] as ended, so that no more of its records are accepted, and returns those retained, in order. */
    fun end(home: HomeId): List<NumberedRecord> =
        shards.withShard(home) { shard ->
            shard.ended += home
            shard.records[home]
                .orEmpty()
                .values
                .sortedBy { it.number }
        }

    /** Whether [home] ever sent records to retain here. */
    fun hasRetained(home: HomeId): Boolean = shards.withShard(home) { home in it.seen }

    /** Discards the records of [home], which its successor has committed. */
    fun discard(home: HomeId) {
        shards.withShard(home) { shard ->
            val retained = shard.records.remove(home).orEmpty()
            bytes.addAndGet(-retained.values.sumOf { it.record.approximateBytes })
        }
    }

    private fun remove(
        retained: HashMap<Long, NumberedRecord>,
        number: Long,
    ) {
        val record = retained.remove(number) ?: return
        bytes.addAndGet(-record.record.approximateBytes)
    }

    companion object {
        /** The default maximum total size, in bytes. */
        const val MAX_BYTES = 48L * 1024 * 1024
    }
}
