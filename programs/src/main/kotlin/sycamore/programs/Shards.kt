package sycamore.programs

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** State partitioned by key into shards, each guarded by its own lock. Blocks passed to it must not suspend. */
internal class Shards<S>(
    count: Int = COUNT,
    create: () -> S,
) {
    private class Shard<S>(
        val state: S,
    ) {
        val lock = ReentrantLock()
    }

    private val shards = List(count) { Shard(create()) }

    /** Runs [block] on the shard of [key] while holding the lock of that shard. */
    fun <R> withShard(
        key: Any,
        block: (S) -> R,
    ): R {
        val shard = shards[Math.floorMod(key.hashCode(), shards.size)]
        return shard.lock.withLock { block(shard.state) }
    }

    /** Runs [block] on one shard after the other, each while holding the lock of that shard. */
    fun <R> mapShards(block: (S) -> R): List<R> = shards.map { shard -> shard.lock.withLock { block(shard.state) } }

    companion object {
        /** The default number of shards. */
        const val COUNT = 64
    }
}
