package sycamore.programs

import sycamore.model.ProgramId

/** The programs served by a home, in shards that are each guarded by their own lock. */
class ProgramTable {
    private val shards = Shards { HashMap<ProgramId, LiveProgram>() }

    /** The states of all programs. The snapshot is consistent within each shard, not across shards. */
    val all: List<ProgramState> get() = shards.mapShards { shard -> shard.values.map { it.state } }.flatten()

    /** The state of [program], or null when this home does not serve it. */
    fun find(program: ProgramId): ProgramState? = update(program) { it.state }

    /**
     * Adds a program unless the table already contains it; returns whether it was added.
     *
     * @param beforeAdd runs under the lock of the shard, just before the program is added.
     */
    fun add(
        state: ProgramState,
        beforeAdd: () -> Unit = {},
    ): Boolean =
        shards.withShard(state.id) { shard ->
            if (state.id in shard) return@withShard false
            beforeAdd()
            shard[state.id] = LiveProgram(state)
            true
        }

    /** Runs [block] on [program] under the lock of its shard. Returns null when this home does not serve it. */
    fun <R> update(
        program: ProgramId,
        block: (LiveProgram) -> R,
    ): R? = shards.withShard(program) { shard -> shard[program]?.let(block) }

    /** Removes [program] if [condition] returns true for it; returns whether it was removed. */
    fun removeIf(
        program: ProgramId,
        condition: (LiveProgram) -> Boolean,
    ): Boolean =
        shards.withShard(program) { shard ->
            val live = shard[program]
            if (live == null || !condition(live)) return@withShard false
            shard.remove(program)
            true
        }
}
