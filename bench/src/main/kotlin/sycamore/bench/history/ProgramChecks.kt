package sycamore.bench.history

import sycamore.programs.ChatMessage

/**
 * Checks that the calls of each program start in the order of their turns.
 *
 * A call must not start before the previous one of its program has ended either; only the order of starts is compared.
 */
internal fun checkOrder(history: History): List<Violation> =
    startsByProgram(history).flatMap { (tag, starts) ->
        starts.zipWithNext().mapNotNull { (first, second) ->
            if (first.turn <= second.turn) return@mapNotNull null
            val detail = "turn ${second.turn} of $tag started after turn ${first.turn}"
            Violation(Invariant.ORDER, detail, history.eventsOf(first.call) + history.eventsOf(second.call))
        }
    }

private class CallStart(
    val turn: Int,
    val call: sycamore.model.CallId,
)

private fun startsByProgram(history: History): Map<Tag, List<CallStart>> {
    val ids =
        history.events.mapNotNull { event ->
            when (event) {
                is EngineStarted -> event.call
                is OrderRan -> event.call
                else -> null
            }
        }
    return ids
        .mapNotNull { id -> history.firstAttempts[id] }
        .groupBy({ it.tag }, { CallStart(it.turn, it.call) })
}

/** Checks that each prompt is the program's earlier messages and answers, in order, and nothing of other programs. */
internal fun checkHistory(history: History): List<Violation> =
    history.engineStarts.mapNotNull { start ->
        val call = history.firstAttempts[start.call] ?: return@mapNotNull violationOfUnknownCall(start)
        val expected = expectedPrompt(history, call)
        val found = start.prompt.map(ChatMessage::content)
        if (found == expected) return@mapNotNull null
        val at = found.zip(expected).indexOfFirst { (a, b) -> a != b }
        val detail =
            "turn ${call.turn} of ${call.tag}: expected ${expected.size} messages, found ${found.size}, " +
                "first difference at $at: expected ${expected.getOrNull(at)}, found ${found.getOrNull(at)}"
        Violation(Invariant.HISTORY, detail, history.eventsOf(call.tag))
    }

private fun violationOfUnknownCall(start: EngineStarted) =
    Violation(Invariant.HISTORY, "the engine ran call ${start.call}, which no caller sent", listOf(start))

private fun expectedPrompt(
    history: History,
    call: CallSent,
): List<String> {
    val answers = history.answered.filter { it.tag == call.tag && it.turn < call.turn }.associateBy { it.turn }
    val texts = history.sent.filter { it.tag == call.tag && it.isChat }.associateBy { it.turn }
    val before =
        texts.keys
            .filter { it < call.turn && it in answers }
            .sorted()
            .flatMap { turn -> listOf(texts.getValue(turn).text, answers.getValue(turn).text) }
    return before + call.text
}

/** Checks that the tokens that engines computed for a program and its sub-agents stay within its budget. */
internal fun checkBudget(history: History): List<Violation> {
    val roots = history.programs.associate { it.tag to it.root }
    val spent = HashMap<Tag, Long>()
    val add = { call: sycamore.model.CallId, tokens: Long ->
        val root = history.firstAttempts[call]?.let { roots[it.tag] }
        if (root != null) spent[root] = (spent[root] ?: 0) + tokens
    }
    history.engineStarts.forEach { add(it.call, it.promptTokens) }
    history.engineEnds.forEach { add(it.call, it.tokens) }
    return spent.mapNotNull { (root, tokens) ->
        val budget = history.programsByTag[root]?.budget ?: return@mapNotNull null
        if (tokens <= budget) return@mapNotNull null
        Violation(Invariant.BUDGET, "$root spent $tokens tokens of $budget", history.eventsOf(root))
    }
}

/** Checks that at the end of the run no engine holds cache entries of a program that has ended. */
internal fun checkEviction(history: History): List<Violation> {
    val over = history.eventsOfType<ProgramOver>().map { it.tag }.toSet()
    return history.eventsOfType<CacheLeft>().filter { it.tag in over }.map { left ->
        Violation(
            Invariant.EVICTION,
            "the engine beside ${left.host} still holds cache entries of ${left.tag}",
            history.eventsOf(left.tag),
        )
    }
}
