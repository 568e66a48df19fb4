package sycamore.host

import sycamore.model.ProgramId
import sycamore.programs.ProgramEnded
import sycamore.programs.ProgramState
import kotlin.time.Clock

/** Ends programs. */
internal class ProgramTerminator(
    private val journal: Journal,
    private val clock: Clock,
    private val evictions: Evictions,
) {
    /**
     * Ends [program] and its sub-agents at this home, for [reason]. Returns false if this home does not serve
     * [program].
     */
    fun end(
        program: ProgramId,
        reason: String,
    ): Boolean {
        if (!endOne(program, reason)) return false
        journal.table.all
            .filter { isSubAgent(it, program) }
            .forEach { endOne(it.id, reason) }
        return true
    }

    private fun isSubAgent(
        state: ProgramState,
        program: ProgramId,
    ): Boolean = state.id != program && state.ended == null && (state.parent == program || state.root == program)

    private fun endOne(
        program: ProgramId,
        reason: String,
    ): Boolean {
        val isFound =
            journal.table.update(program) { live ->
                if (live.state.ended == null) journal.record(live, ProgramEnded(program, reason, clock.now()))
            } != null
        if (isFound) evictions.wake()
        return isFound
    }
}
