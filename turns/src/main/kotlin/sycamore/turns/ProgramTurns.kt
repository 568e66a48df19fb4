package sycamore.turns

import sycamore.routing.AttemptId
import sycamore.routing.ProgramName

/** Result of an attempt to start a turn. */
sealed interface TurnStart {
    /**
     * The turn may run. Before any token of the turn is sent out, [record] has to be durable, so that it survives the
     * loss of this process.
     */
    data class Admitted(
        val record: TurnStarted,
    ) : TurnStart

    /**
     * The budget is too small for the maximum number of tokens that the turn may generate: [left] tokens of it are
     * neither spent nor reserved.
     */
    data class BudgetSpent(
        val left: Long,
    ) : TurnStart

    /** The turn to continue is unknown to this home, or has no complete answer. */
    data object NoSuchTurn : TurnStart

    /** A turn with this id was started before. */
    data object Repeated : TurnStart
}

/**
 * Request of a caller to start a turn.
 *
 * @property previous turn to continue; null at the start of a chain.
 * @property input input of the turn, as the caller sent it.
 * @property budget maximum number of tokens that all turns of the program may generate; null for no limit.
 * @property maxTokens maximum number of tokens that this turn may generate.
 * @property isRegistered whether the directory of programs names this home as the home of the program.
 */
data class TurnRequest(
    val program: ProgramName,
    val turn: AttemptId,
    val previous: AttemptId?,
    val input: ByteArray,
    val budget: Long?,
    val maxTokens: Long,
    val isRegistered: Boolean = false,
)

/** The turns of one program and the tokens that they spent. Not thread-safe. */
internal class ProgramTurns {
    private class Turn(
        val previous: AttemptId?,
        val input: ByteArray,
        val base: ByteArray?,
        val reserved: Long,
    ) {
        var output: ByteArray? = null
        var tokens = 0L
        var isOpen = true
    }

    private val turns = HashMap<AttemptId, Turn>()

    /** Ends of turns whose start has not been applied yet, since records may arrive in any order. */
    private val earlyEnds = HashMap<AttemptId, TurnEnd>()
    private var spent = 0L
    private var reserved = 0L

    /** Tokens that are spent, or reserved by turns that have not ended. */
    val committedTokens: Long get() = spent + reserved

    /** Tokens that each turn has spent or may still spend. */
    val tokensByTurn: Map<AttemptId, Long> get() =
        turns.mapValues { (_, turn) ->
            if (turn.isOpen) turn.reserved else turn.tokens
        }

    /** Turns that have not ended. */
    val open: Set<AttemptId> get() = turns.filterValues { it.isOpen }.keys

    /** All turns. */
    val ids: Set<AttemptId> get() = turns.keys

    /** Whether [turn] has a complete answer. */
    fun isComplete(turn: AttemptId): Boolean = turns[turn]?.output != null

    /**
     * Starts the turn of [request]. If that turn continues a turn of another program or home, [base] is the prompt and
     * the output of the continued turn.
     */
    fun start(
        request: TurnRequest,
        base: ByteArray?,
    ): TurnStart {
        val left = request.budget?.minus(committedTokens)
        val previous = request.previous
        return when {
            request.turn in turns -> TurnStart.Repeated
            previous != null && base == null && !isComplete(previous) -> TurnStart.NoSuchTurn
            left != null && request.maxTokens > left -> TurnStart.BudgetSpent(left.coerceAtLeast(0))
            else -> {
                val record =
                    TurnStarted(
                        program = request.program,
                        turn = request.turn,
                        previous = previous,
                        input = request.input,
                        reserved = request.maxTokens,
                        base = base,
                        isRegistered = request.isRegistered,
                    )
                apply(record)
                TurnStart.Admitted(record)
            }
        }
    }

    /** Reverts the start of [turn], which never reached an engine. */
    fun withdraw(turn: AttemptId) {
        val withdrawn = turns.remove(turn) ?: return
        if (withdrawn.isOpen) reserved -= withdrawn.reserved
    }

    /** Applies [record]. A record that was applied before changes nothing. */
    fun apply(record: TurnRecord) {
        when (record) {
            is TurnStarted -> begin(record)
            is TurnFinished -> end(record, record.tokens, record.output)
            is TurnBroken -> end(record, record.tokens, output = null)
            is TurnsCounted -> count(record)
        }
    }

    private fun count(record: TurnsCounted) {
        for ((turn, tokens) in record.turns zip record.tokens) {
            begin(TurnStarted(record.program, turn, previous = null, input = EMPTY, reserved = 0))
            val end = TurnFinished(record.program, turn, EMPTY, tokens)
            end(end, end.tokens, end.output)
        }
    }

    private fun begin(record: TurnStarted) {
        if (record.turn in turns) return
        turns[record.turn] = Turn(record.previous, record.input, record.base, record.reserved)
        reserved += record.reserved
        earlyEnds.remove(record.turn)?.let(::apply)
    }

    /** Ends a turn. A complete answer outweighs a broken end of the same turn, in either order. */
    private fun end(
        record: TurnEnd,
        tokens: Long,
        output: ByteArray?,
    ) {
        val turn = turns[record.turn]
        if (turn == null) {
            if (earlyEnds[record.turn] !is TurnFinished) earlyEnds[record.turn] = record
            return
        }
        // An engine may refuse a turn at one home before it runs at another, whose log then has both ends.
        val isOutweighed = !turn.isOpen && turn.output == null && output != null
        if (!turn.isOpen && !isOutweighed) return
        if (turn.isOpen) reserved -= turn.reserved
        turn.isOpen = false
        turn.output = output
        spent += tokens - turn.tokens
        turn.tokens = tokens
    }

    /**
     * The prompt that an engine receives for [turn]: input and output of each earlier turn in its chain, then its own
     * input.
     */
    fun prompt(turn: AttemptId): ByteArray {
        val parts = ArrayDeque<ByteArray>()
        var next = turns[turn]
        next?.let { parts.addFirst(it.input) }
        while (next != null) {
            next.base?.let { parts.addFirst(it) }
            val previous = if (next.base == null) next.previous?.let(turns::get) else null
            if (previous != null) {
                previous.output?.let { parts.addFirst(it) }
                parts.addFirst(previous.input)
            }
            next = previous
        }
        return parts.join()
    }

    /**
     * The prompt of a new turn that continues [turn], without the new turn's own input; null unless [turn] has a
     * complete answer.
     */
    fun promptAfter(turn: AttemptId): ByteArray? {
        val output = turns[turn]?.output ?: return null
        return prompt(turn) + output
    }

    private fun Collection<ByteArray>.join(): ByteArray {
        val joined = ByteArray(sumOf { it.size })
        var offset = 0
        for (part in this) {
            part.copyInto(joined, offset)
            offset += part.size
        }
        return joined
    }

    /** Records that restore this state when they are applied. */
    fun records(name: ProgramName): List<TurnRecord> =
        turns.flatMap { (id, turn) ->
            val start = TurnStarted(name, id, turn.previous, turn.input, turn.reserved, turn.base)
            listOfNotNull(start, endOf(name, id, turn))
        }

    private fun endOf(
        name: ProgramName,
        id: AttemptId,
        turn: Turn,
    ): TurnEnd? {
        val output = turn.output
        return when {
            output != null -> TurnFinished(name, id, output, turn.tokens)
            turn.isOpen -> null
            else -> TurnBroken(name, id, turn.tokens)
        }
    }

    private companion object {
        val EMPTY = ByteArray(0)
    }
}
