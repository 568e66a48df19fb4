package sycamore.programs

import sycamore.model.ProgramId

/** The programs that live at a home, in shards each under its own lock. */
class ProgramTable {
    private val shards = Shards { HashMap<ProgramId, LiveProgram>() }

    /** All programs, each shard as of one moment. */
    val all: List<ProgramState> get() = shards.each { shard -> shard.values.map { it.state } }.flatten()

    /** The state of [program], or null when it does not live here. */
    fun find(program: ProgramId): ProgramState? = update(program) { it.state }

    /** Adds a program unless it is there already, and runs [then] under its lock; returns whether it did. */
    fun add(
        state: ProgramState,
        then: () -> Unit = {},
    ): Boolean =
        shards.on(state.id) { shard ->
            if (state.id in shard) return@on false
            then()
            shard[state.id] = LiveProgram(state)
            true
        }

    /** Runs [block] on [program] under its lock. Null when the program does not live here. */
    fun <R> update(
        program: ProgramId,
        block: (LiveProgram) -> R,
    ): R? = shards.on(program) { shard -> shard[program]?.let(block) }

    /** Removes [program] if [condition] holds for it. */
    fun removeIf(
        program: ProgramId,
        condition: (LiveProgram) -> Boolean,
    ): Boolean =
        shards.on(program) { shard ->
            val live = shard[program]
            if (live == null || !condition(live)) return@on false
            shard.remove(program)
            true
        }
}
