package sycamore.bench.history

import sycamore.programs.ChatMessage

/** The calls of one program start in their turns' order, and none starts before the one before it has ended. */
internal fun checkOrder(history: History): List<Violation> =
    startsByProgram(history).flatMap { (tag, starts) ->
        starts.zipWithNext().mapNotNull { (first, second) ->
            if (first.turn <= second.turn) return@mapNotNull null
            val detail = "turn ${second.turn} of $tag started after turn ${first.turn}"
            Violation(Promise.ORDER, detail, history.about(first.call) + history.about(second.call))
        }
    }

private class Start(
    val turn: Int,
    val call: sycamore.model.CallId,
)

private fun startsByProgram(history: History): Map<Tag, List<Start>> {
    val ids =
        history.events.mapNotNull { event ->
            when (event) {
                is EngineStarted -> event.call
                is OrderRan -> event.call
                else -> null
            }
        }
    return ids
        .mapNotNull { id -> history.calls[id] }
        .groupBy({ it.tag }, { Start(it.turn, it.call) })
}

/** Each prompt holds what the caller said and was answered before, in order, and nothing of another program. */
internal fun checkHistory(history: History): List<Violation> =
    history.engineStarts.mapNotNull { start ->
        val call = history.calls[start.call] ?: return@mapNotNull unknownCall(start)
        val expected = expectedPrompt(history, call)
        val found = start.prompt.map(ChatMessage::content)
        if (found == expected) return@mapNotNull null
        val at = found.zip(expected).indexOfFirst { (a, b) -> a != b }
        val detail =
            "turn ${call.turn} of ${call.tag}: expected ${expected.size} messages, found ${found.size}, " +
                "first difference at $at: expected ${expected.getOrNull(at)}, found ${found.getOrNull(at)}"
        Violation(Promise.HISTORY, detail, history.about(call.tag))
    }

private fun unknownCall(start: EngineStarted) =
    Violation(Promise.HISTORY, "the engine ran call ${start.call}, which no caller sent", listOf(start))

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

/** The tokens that engines computed for a program and its sub-agents stay within its budget. */
internal fun checkBudget(history: History): List<Violation> {
    val roots = history.programs.associate { it.tag to it.root }
    val spent = HashMap<Tag, Long>()
    val add = { call: sycamore.model.CallId, tokens: Long ->
        val root = history.calls[call]?.let { roots[it.tag] }
        if (root != null) spent[root] = (spent[root] ?: 0) + tokens
    }
    history.engineStarts.forEach { add(it.call, it.promptTokens) }
    history.engineEnds.forEach { add(it.call, it.tokens) }
    return spent.mapNotNull { (root, tokens) ->
        val budget = history.byTag[root]?.budget ?: return@mapNotNull null
        if (tokens <= budget) return@mapNotNull null
        Violation(Promise.BUDGET, "$root spent $tokens tokens of $budget", history.about(root))
    }
}

/** No engine holds cache of a program that is over. */
internal fun checkEviction(history: History): List<Violation> {
    val over = history.of<ProgramOver>().map { it.tag }.toSet()
    return history.of<CacheLeft>().filter { it.tag in over }.map { left ->
        Violation(Promise.EVICTION, "the engine beside ${left.host} still holds ${left.tag}", history.about(left.tag))
    }
}
