package sycamore.programs

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** State split by key into shards, each under its own lock. Blocks given to it must not suspend. */
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

    /** Runs [block] on the shard of [key], alone. */
    fun <R> on(
        key: Any,
        block: (S) -> R,
    ): R {
        val shard = shards[Math.floorMod(key.hashCode(), shards.size)]
        return shard.lock.withLock { block(shard.state) }
    }

    /** Runs [block] on each shard in turn, alone on that shard. */
    fun <R> each(block: (S) -> R): List<R> = shards.map { shard -> shard.lock.withLock { block(shard.state) } }

    companion object {
        /** Shards of state that many threads share. */
        const val COUNT = 64
    }
}
