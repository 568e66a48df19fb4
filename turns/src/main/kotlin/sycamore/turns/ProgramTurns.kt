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

    /**
     * The chain of the turn to continue does not reach its first turn: records of earlier turns have not arrived. The turn has not
     * run.
     */
    data object IncompleteHistory : TurnStart

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
        var start: TurnStarted,
    ) {
        /** The tokens that the turn reserves while it is open. */
        val reserved: Long = start.reserved
        var output: ByteArray? = null
        var tokens = 0L
        var isOpen = true

        val previous: AttemptId? get() = start.previous
        val input: ByteArray get() = start.input
        val base: ByteArray? get() = start.base
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
            previous != null && base == null && !hasWholeChain(previous) -> TurnStart.IncompleteHistory
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

    /** Reverts the start of [turn], which did not run. Returns false if the turn has ended by the record of another home. */
    fun withdraw(turn: AttemptId): Boolean {
        val started = turns[turn]?.takeIf { it.isOpen } ?: return false
        turns.remove(turn)
        reserved -= started.reserved
        return true
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
        val known = turns[record.turn]
        if (known != null) {
            // A count of tokens from another home, which has no text, may have come before the start itself.
            if (known.start.hasNoText) known.start = record
            return
        }
        turns[record.turn] = Turn(record)
        reserved += record.reserved
        earlyEnds.remove(record.turn)?.let(::apply)
    }

    private fun end(
        record: TurnEnd,
        tokens: Long,
        output: ByteArray?,
    ) {
        val turn = turns[record.turn]
        if (turn == null) {
            val early = earlyEnds[record.turn]
            if (early == null || record.supersedes(early)) earlyEnds[record.turn] = record
            return
        }
        // A turn that one engine refused and another one ran has two ends, and may have them at two homes.
        val isSuperseded = turn.output == null && (output != null || tokens > turn.tokens)
        if (!turn.isOpen && !isSuperseded) return
        if (turn.isOpen) reserved -= turn.reserved
        turn.isOpen = false
        spent += tokens - turn.tokens
        turn.output = output
        turn.tokens = tokens
    }

    private fun TurnEnd.supersedes(other: TurnEnd): Boolean =
        other !is TurnFinished && (this is TurnFinished || tokens > other.tokens)

    /**
     * The prompt that an engine receives for [turn]: input and output of each earlier turn in its chain, then its own
     * input. Null if a turn of the chain is unknown or has no complete answer.
     */
    fun prompt(turn: AttemptId): ByteArray? {
        val parts = ArrayDeque<ByteArray>()
        var next = turns[turn] ?: return null
        parts.addFirst(next.input)
        while (true) {
            val base = next.base
            if (base != null) {
                parts.addFirst(base)
                break
            }
            next = turns[next.previous ?: break] ?: return null
            parts.addFirst(next.output ?: return null)
            parts.addFirst(next.input)
        }
        return parts.join()
    }

    /**
     * The prompt of a new turn that continues [turn], without the new turn's own input; null unless all turns of the chain up to
     * [turn] are known and have complete answers.
     */
    fun promptAfter(turn: AttemptId): ByteArray? {
        val output = turns[turn]?.output ?: return null
        return prompt(turn)?.plus(output)
    }

    /** Whether all turns of the chain up to [turn] are known and have complete answers. */
    private fun hasWholeChain(turn: AttemptId): Boolean {
        var next = turns[turn] ?: return false
        while (next.output != null && next.base == null) {
            next = turns[next.previous ?: return true] ?: return false
        }
        return next.output != null
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
