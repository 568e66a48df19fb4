package sycamore.turns

import sycamore.model.CallerName
import sycamore.routing.AttemptId
import sycamore.routing.ProgramName
import java.util.concurrent.ConcurrentHashMap

/** The program of each turn of a home. Callers choose the ids of turns, so that one may occur at several accounts. */
internal class TurnIndex {
    private data class AccountTurn(
        val account: CallerName?,
        val turn: AttemptId,
    )

    private val programs = ConcurrentHashMap<AttemptId, ProgramName>()

    /** The programs of turns whose ids are in [programs] for another account. */
    private val further = ConcurrentHashMap<AccountTurn, ProgramName>()

    /** The program of [account] that [turn] belongs to; null if [account] has no such turn here. */
    fun find(
        account: CallerName?,
        turn: AttemptId,
    ): ProgramName? = programs[turn]?.takeIf { it.account == account } ?: further[AccountTurn(account, turn)]

    /** Whether other accounts than [account] have a turn with the id [turn] here, and [account] has none. */
    fun isOfOtherAccount(
        account: CallerName?,
        turn: AttemptId,
    ): Boolean = programs.containsKey(turn) && find(account, turn) == null

    /** Records that [turn] belongs to [program]. */
    fun record(
        turn: AttemptId,
        program: ProgramName,
    ) {
        val known = programs.putIfAbsent(turn, program) ?: return
        if (known.account == program.account) {
            programs[turn] = program
        } else {
            further[AccountTurn(program.account, turn)] = program
        }
    }

    /** Removes [turn] of [program]. */
    fun remove(
        turn: AttemptId,
        program: ProgramName,
    ) {
        if (!programs.remove(turn, program)) further.remove(AccountTurn(program.account, turn), program)
    }
}
