package sycamore.programs

import sycamore.model.HomeId
import java.util.concurrent.atomic.AtomicLong

/**
 * Records of other homes that are kept until those have committed them.
 *
 * @param maxBytes bound of all that is kept, by [weight].
 */
class RetainedRecords(
    private val maxBytes: Long = MAX_BYTES,
) {
    private class Shard {
        val records = HashMap<HomeId, HashMap<Long, Numbered>>()
        val ended = HashSet<HomeId>()
        val known = HashSet<HomeId>()
    }

    private val shards = Shards { Shard() }
    private val bytes = AtomicLong()

    /** Bytes kept now. */
    val size: Long get() = bytes.get()

    /** Keeps [records] of [home] and drops those up to [committed]; false when [home] has ended or there is no room. */
    fun keep(
        home: HomeId,
        committed: Long,
        records: List<Numbered>,
    ): Boolean =
        shards.on(home) { shard ->
            if (home in shard.ended) return@on false
            shard.known += home
            val kept = shard.records.getOrPut(home) { HashMap() }
            kept.keys.filter { it <= committed }.forEach { number -> remove(kept, number) }
            val added = records.filter { it.number > committed && it.number !in kept }
            val weight = added.sumOf { it.record.weight }
            if (bytes.get() + weight > maxBytes) return@on false
            added.forEach { kept[it.number] = it }
            bytes.addAndGet(weight)
            true
        }

    /** Ends [home]: its records are returned, and nothing more of it is accepted. */
    fun end(home: HomeId): List<Numbered> =
        shards.on(home) { shard ->
            shard.ended += home
            shard.records[home]
                .orEmpty()
                .values
                .sortedBy { it.number }
        }

    /** Whether [home] ever had something kept here. */
    fun knows(home: HomeId): Boolean = shards.on(home) { home in it.known }

    /** Drops what is kept of [home], whose successor has committed it. */
    fun drop(home: HomeId) {
        shards.on(home) { shard ->
            val kept = shard.records.remove(home).orEmpty()
            bytes.addAndGet(-kept.values.sumOf { it.record.weight })
        }
    }

    private fun remove(
        kept: HashMap<Long, Numbered>,
        number: Long,
    ) {
        val record = kept.remove(number) ?: return
        bytes.addAndGet(-record.record.weight)
    }

    companion object {
        /** Default bound, in bytes. */
        const val MAX_BYTES = 48L * 1024 * 1024
    }
}
