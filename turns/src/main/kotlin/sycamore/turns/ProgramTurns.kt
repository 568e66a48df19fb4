package sycamore.turns

import sycamore.routing.AttemptId
import sycamore.routing.ProgramName

/** What became of an attempt to start a turn. */
sealed interface TurnStart {
    /** It may run. [record] has to outlive the process before a token of it is handed out. */
    data class Admitted(
        val record: TurnStarted,
    ) : TurnStart

    /** The budget does not hold the most that the turn may generate: [left] tokens of it are neither spent nor reserved. */
    data class BudgetSpent(
        val left: Long,
    ) : TurnStart

    /** The turn that it continues is not known here, or was not answered whole. */
    data object NoSuchTurn : TurnStart

    /** A turn of this name was started before. */
    data object Repeated : TurnStart
}

/**
 * A caller's turn as it asks for it.
 *
 * @property budget tokens that all turns of the program may generate; null sets no bound.
 * @property most tokens that this turn may generate.
 * @property isRegistered whether the directory of programs names this home.
 */
data class TurnRequest(
    val program: ProgramName,
    val turn: AttemptId,
    val previous: AttemptId?,
    val input: ByteArray,
    val budget: Long?,
    val most: Long,
    val isRegistered: Boolean = false,
)

/** The turns of one program and what they spent. Not thread-safe. */
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

    /** Ends whose start has not been applied yet, since records may come in any order. */
    private val earlyEnds = HashMap<AttemptId, TurnEnd>()
    private var spent = 0L
    private var reserved = 0L

    /** Tokens that were spent or may be spent by turns that have not ended. */
    val committedTokens: Long get() = spent + reserved

    /** Tokens that each turn spent or may spend. */
    val tokensByTurn: Map<AttemptId, Long> get() =
        turns.mapValues { (_, turn) ->
            if (turn.isOpen) turn.reserved else turn.tokens
        }

    /** Turns that have not ended. */
    val open: Set<AttemptId> get() = turns.filterValues { it.isOpen }.keys

    /** All turns. */
    val ids: Set<AttemptId> get() = turns.keys

    /** Whether [turn] was answered whole. */
    fun isWhole(turn: AttemptId): Boolean = turns[turn]?.output != null

    /** Starts the turn of [request], unless it continues from a turn elsewhere whose prompt is [base]. */
    fun start(
        request: TurnRequest,
        base: ByteArray?,
    ): TurnStart {
        val left = request.budget?.minus(committedTokens)
        val previous = request.previous
        return when {
            request.turn in turns -> TurnStart.Repeated
            previous != null && base == null && !isWhole(previous) -> TurnStart.NoSuchTurn
            left != null && request.most > left -> TurnStart.BudgetSpent(left.coerceAtLeast(0))
            else -> {
                val record =
                    TurnStarted(
                        program = request.program,
                        turn = request.turn,
                        previous = previous,
                        input = request.input,
                        reserved = request.most,
                        base = base,
                        isRegistered = request.isRegistered,
                    )
                apply(record)
                TurnStart.Admitted(record)
            }
        }
    }

    /** Takes back the start of [turn], which never reached an engine. */
    fun withdraw(turn: AttemptId) {
        val withdrawn = turns.remove(turn) ?: return
        if (withdrawn.isOpen) reserved -= withdrawn.reserved
    }

    /** Folds [record] in. A record that was applied before changes nothing. */
    fun apply(record: TurnRecord) {
        when (record) {
            is TurnStarted -> begin(record)
            is TurnFinished -> end(record, record.tokens, record.output)
            is TurnBroken -> end(record, record.tokens, output = null)
        }
    }

    private fun begin(record: TurnStarted) {
        if (record.turn in turns) return
        turns[record.turn] = Turn(record.previous, record.input, record.base, record.reserved)
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
            earlyEnds[record.turn] = record
            return
        }
        if (!turn.isOpen) return
        turn.isOpen = false
        turn.output = output
        turn.tokens = tokens
        reserved -= turn.reserved
        spent += tokens
    }

    /** What an engine gets for [turn]: of each turn of its chain the input and the output, then its own input. */
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

    /** The prompt of a turn that continues [turn], without that turn's own input; null unless [turn] was answered whole. */
    fun promptAfter(turn: AttemptId): ByteArray? {
        val output = turns[turn]?.output ?: return null
        return prompt(turn) + output
    }

    private fun Collection<ByteArray>.join(): ByteArray {
        val whole = ByteArray(sumOf { it.size })
        var at = 0
        for (part in this) {
            part.copyInto(whole, at)
            at += part.size
        }
        return whole
    }

    /** Records from which all of this can be folded again. */
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
}
