package sycamore.host

import sycamore.decisions.GateDecision

/** The last decisions about each of a bounded number of programs. */
internal class DecisionLog {
    private val byProgram = BoundedMap<String, ArrayDeque<GateDecision>>(MAX_PROGRAMS)

    @Synchronized
    fun add(decision: GateDecision) {
        val decisions = byProgram.getOrPut(decision.program) { ArrayDeque() }
        decisions += decision
        if (decisions.size > MAX_DECISIONS) decisions.removeFirst()
    }

    /** What was decided about [program], oldest first. */
    @Synchronized
    fun about(program: String): List<String> = byProgram[program].orEmpty().map { "$it" }

    @Synchronized
    fun forget(program: String) {
        byProgram.remove(program)
    }

    private companion object {
        const val MAX_PROGRAMS = 5_000
        const val MAX_DECISIONS = 20
    }
}
