package sycamore.host

import sycamore.decisions.GateDecision

/** The most recent gate decisions for each of a bounded number of programs. */
internal class DecisionLog {
    private val byProgram = LruMap<String, ArrayDeque<GateDecision>>(MAX_PROGRAMS)

    @Synchronized
    fun add(decision: GateDecision) {
        val decisions = byProgram.getOrPut(decision.program) { ArrayDeque() }
        decisions += decision
        if (decisions.size > MAX_DECISIONS_PER_PROGRAM) decisions.removeFirst()
    }

    /** Returns the decisions for [program] as text, oldest first. */
    @Synchronized
    fun decisionsOn(program: String): List<String> = byProgram[program].orEmpty().map { "$it" }

    @Synchronized
    fun remove(program: String) {
        byProgram.remove(program)
    }

    private companion object {
        const val MAX_PROGRAMS = 5_000
        const val MAX_DECISIONS_PER_PROGRAM = 20
    }
}
