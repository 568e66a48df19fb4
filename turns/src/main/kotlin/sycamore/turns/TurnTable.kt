package sycamore.turns

import sycamore.routing.AttemptId
import sycamore.routing.ProgramName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** The programs of one home, in shards that are locked one by one. */
class TurnTable(
    private val time: TimeSource.WithComparableMarks,
) {
    private class Entry(
        val turns: ProgramTurns,
        var lastUse: ComparableTimeMark,
    )

    private class Shard {
        val lock = ReentrantLock()
        val programs = HashMap<ProgramName, Entry>()
    }

    private val shards = List(SHARDS) { Shard() }
    private val programOf = ConcurrentHashMap<AttemptId, ProgramName>()

    /** How many programs there are. */
    val size: Int get() = shards.sumOf { shard -> shard.lock.withLock { shard.programs.size } }

    /** Whether [program] lives here. */
    fun has(program: ProgramName): Boolean = on(program) { it.containsKey(program) }

    /** The program whose turn [turn] is, if it was answered whole here. */
    fun programWithWhole(turn: AttemptId): ProgramName? {
        val program = programOf[turn] ?: return null
        return program.takeIf { on(it) { programs -> programs[it]?.turns?.isWhole(turn) == true } }
    }

    /**
     * Starts the turn of [request]. A turn may continue from another program's turn; its prompt is copied then.
     *
     * @param base prompt of the turn that it continues, if that one lives at another home.
     */
    fun start(
        request: TurnRequest,
        base: ByteArray? = null,
    ): TurnStart {
        val inherited = base ?: inheritedPrompt(request)
        return on(request.program) { programs ->
            val isNew = request.program !in programs
            val entry = programs.getOrPut(request.program) { Entry(ProgramTurns(), time.markNow()) }
            entry.lastUse = time.markNow()
            val start = entry.turns.start(request, inherited)
            if (start is TurnStart.Admitted) programOf[request.turn] = request.program
            if (isNew && start !is TurnStart.Admitted) programs.remove(request.program)
            start
        }
    }

    private fun inheritedPrompt(request: TurnRequest): ByteArray? {
        val previous = request.previous ?: return null
        val owner = programOf[previous]?.takeIf { it != request.program } ?: return null
        return on(owner) { it[owner]?.turns?.promptAfter(previous) }
    }

    /** The prompt of a turn that continues [turn]; null unless that was answered whole here. */
    fun promptAfter(turn: AttemptId): ByteArray? {
        val program = programOf[turn] ?: return null
        return on(program) { it[program]?.turns?.promptAfter(turn) }
    }

    /** What an engine gets for [turn] of [program]. */
    fun prompt(
        program: ProgramName,
        turn: AttemptId,
    ): ByteArray = on(program) { it[program]?.turns?.prompt(turn) } ?: ByteArray(0)

    /** Takes back the start of [turn], which never reached an engine. */
    fun withdraw(
        program: ProgramName,
        turn: AttemptId,
    ) {
        programOf.remove(turn)
        on(program) { it[program]?.turns?.withdraw(turn) }
    }

    /** Folds [record] in. */
    fun apply(record: TurnRecord) {
        when (record) {
            is TurnStarted -> apply(record, record.turn)
            is TurnEnd -> apply(record, record.turn)
        }
    }

    private fun apply(
        record: TurnRecord,
        turn: AttemptId,
    ) {
        on(record.program) { programs ->
            val entry = programs.getOrPut(record.program) { Entry(ProgramTurns(), time.markNow()) }
            entry.lastUse = time.markNow()
            entry.turns.apply(record)
        }
        programOf[turn] = record.program
    }

    /** Tokens of [program] that are spent or reserved. */
    fun committedTokens(program: ProgramName): Long = on(program) { it[program]?.turns?.committedTokens ?: 0 }

    /** Tokens that each turn of [program] spent or may spend. */
    fun tokensByTurn(program: ProgramName): Map<AttemptId, Long> =
        on(program) { it[program]?.turns?.tokensByTurn.orEmpty() }

    /** Tokens that each program has spent or reserved, for those whose name [isWanted]. */
    fun committedTokens(isWanted: (ProgramName) -> Boolean): Map<ProgramName, Long> =
        shards.fold(HashMap()) { all, shard ->
            shard.lock.withLock {
                shard.programs.forEach { (name, entry) -> if (isWanted(name)) all[name] = entry.turns.committedTokens }
            }
            all
        }

    /** Drops programs without turns under way that were not used for [idle]; returns their names. */
    fun dropIdle(idle: Duration): Set<ProgramName> =
        shards.flatMapTo(HashSet()) { shard ->
            shard.lock.withLock {
                val dropped = shard.programs.filterValues { it.lastUse.elapsedNow() > idle && it.turns.open.isEmpty() }
                dropped.forEach { (name, entry) ->
                    shard.programs.remove(name)
                    entry.turns.ids.forEach(programOf::remove)
                }
                dropped.keys
            }
        }

    private fun <R> on(
        program: ProgramName,
        block: (HashMap<ProgramName, Entry>) -> R,
    ): R {
        val shard = shards[Math.floorMod(program.hashCode(), SHARDS)]
        return shard.lock.withLock { block(shard.programs) }
    }

    private companion object {
        const val SHARDS = 16
    }
}
