package sycamore.turns

import sycamore.model.CallerName
import sycamore.routing.AttemptId
import sycamore.routing.ProgramName
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Table of the programs of one home with their turns. It consists of shards, each with its own lock. */
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

    private val shards = List(SHARD_COUNT) { Shard() }
    private val index = TurnIndex()

    /** Number of programs. */
    val size: Int get() = shards.sumOf { shard -> shard.lock.withLock { shard.programs.size } }

    /** Whether [program] is served by this home. */
    fun contains(program: ProgramName): Boolean = withShard(program) { it.containsKey(program) }

    /** The program of [account] that [turn] belongs to, if the turn has a complete answer at this home. */
    fun programOfCompleteTurn(
        account: CallerName?,
        turn: AttemptId,
    ): ProgramName? {
        val program = index.find(account, turn) ?: return null
        return program.takeIf { withShard(it) { programs -> programs[it]?.turns?.isComplete(turn) == true } }
    }

    /** Whether this home has [turn] as a turn of another account than [account]. */
    fun isOfOtherAccount(
        account: CallerName?,
        turn: AttemptId,
    ): Boolean = index.isOfOtherAccount(account, turn)

    /**
     * Starts the turn of [request]. If it continues a turn of another program of the same account, the prompt and the output of that
     * turn are copied.
     *
     * @param base prompt and output of the turn to continue, if that turn belongs to another home.
     */
    fun start(
        request: TurnRequest,
        base: ByteArray? = null,
    ): TurnStart {
        val inherited = base ?: inheritedPrompt(request)
        return withShard(request.program) { programs ->
            val isNew = request.program !in programs
            val entry = programs.getOrPut(request.program) { Entry(ProgramTurns(), time.markNow()) }
            entry.lastUse = time.markNow()
            val start = entry.turns.start(request, inherited)
            if (start is TurnStart.Admitted) index.record(request.turn, request.program)
            if (isNew && start !is TurnStart.Admitted) programs.remove(request.program)
            start
        }
    }

    private fun inheritedPrompt(request: TurnRequest): ByteArray? {
        val previous = request.previous ?: return null
        val owner = index.find(request.program.account, previous)?.takeIf { it != request.program } ?: return null
        return withShard(owner) { it[owner]?.turns?.promptAfter(previous) }
    }

    /**
     * The prompt of a new turn of [account] that continues [turn], without the new turn's own input; null unless all turns of the chain
     * up to [turn] are of [account] and have complete answers at this home.
     */
    fun promptAfter(
        account: CallerName?,
        turn: AttemptId,
    ): ByteArray? {
        val program = index.find(account, turn) ?: return null
        return withShard(program) { it[program]?.turns?.promptAfter(turn) }
    }

    /** The prompt that an engine receives for [turn] of [program]; null unless all earlier turns of its chain are complete. */
    fun prompt(
        program: ProgramName,
        turn: AttemptId,
    ): ByteArray? = withShard(program) { it[program]?.turns?.prompt(turn) }

    /**
     * Reverts the start of [turn], which did not run. It may be started again, unless the record of another home has ended
     * it meanwhile.
     */
    fun withdraw(
        program: ProgramName,
        turn: AttemptId,
    ) {
        val isWithdrawn = withShard(program) { it[program]?.turns?.withdraw(turn) == true }
        if (isWithdrawn) index.remove(turn, program)
    }

    /** Applies [record] to its program. */
    fun apply(record: TurnRecord) = applyAll(listOf(record))

    /** Applies [records]. Those of one program take effect together, so that no turn is started between them. */
    fun applyAll(records: List<TurnRecord>) =
        records.groupBy { it.program }.forEach { (program, all) -> applyAll(program, all) }

    private fun applyAll(
        program: ProgramName,
        records: List<TurnRecord>,
    ) {
        withShard(program) { programs ->
            val entry = programs.getOrPut(program) { Entry(ProgramTurns(), time.markNow()) }
            entry.lastUse = time.markNow()
            records.forEach(entry.turns::apply)
        }
        records.flatMap(::turnsOf).forEach { index.record(it, program) }
    }

    private fun turnsOf(record: TurnRecord): List<AttemptId> =
        when (record) {
            is TurnStarted -> listOf(record.turn)
            is TurnEnd -> listOf(record.turn)
            is TurnsCounted -> record.turns
        }

    /** Tokens of [program] that are spent or reserved. */
    fun committedTokens(program: ProgramName): Long = withShard(program) { it[program]?.turns?.committedTokens ?: 0 }

    /** Tokens that each turn of [program] has spent or may still spend. */
    fun tokensByTurn(program: ProgramName): Map<AttemptId, Long> =
        withShard(program) { it[program]?.turns?.tokensByTurn.orEmpty() }

    /** Tokens that are spent or reserved, by program, for the programs that [isWanted] accepts. */
    fun committedTokens(isWanted: (ProgramName) -> Boolean): Map<ProgramName, Long> =
        shards.fold(HashMap()) { all, shard ->
            shard.lock.withLock {
                shard.programs.forEach { (name, entry) -> if (isWanted(name)) all[name] = entry.turns.committedTokens }
            }
            all
        }

    /** Removes the programs without turns in progress that have not been used for [idle]; returns their names. */
    fun dropIdle(idle: Duration): Set<ProgramName> =
        shards.flatMapTo(HashSet()) { shard ->
            shard.lock.withLock {
                val dropped = shard.programs.filterValues { it.lastUse.elapsedNow() > idle && it.turns.open.isEmpty() }
                dropped.forEach { (name, entry) ->
                    shard.programs.remove(name)
                    entry.turns.ids.forEach { index.remove(it, name) }
                }
                dropped.keys
            }
        }

    private fun <R> withShard(
        program: ProgramName,
        block: (HashMap<ProgramName, Entry>) -> R,
    ): R {
        val shard = shards[Math.floorMod(program.hashCode(), SHARD_COUNT)]
        return shard.lock.withLock { block(shard.programs) }
    }

    private companion object {
        const val SHARD_COUNT = 16
    }
}
