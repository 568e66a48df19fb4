package sycamore.bench.history

import sycamore.model.CallId
import sycamore.programs.Outcome

/** Each answer that a caller received is, byte for byte, one that an upstream gave to that very call. */
internal fun checkWholeAnswer(history: History): List<Violation> {
    val given = HashMap<CallId, MutableSet<String>>()
    history.engineEnds.forEach { given.getOrPut(it.call) { HashSet() } += it.text }
    history.orders.forEach { given.getOrPut(it.call) { HashSet() } += it.answer }
    return history.answered.mapNotNull { answer ->
        val texts = given[answer.call].orEmpty()
        if (answer.text in texts) return@mapNotNull null
        val detail = "turn ${answer.turn} of ${answer.tag}: expected one of $texts, found ${answer.text}"
        Violation(Promise.WHOLE_ANSWER, detail, history.about(answer.call))
    }
}

/** A call that was refused as not run had not started, and does not start unless its caller sends it again. */
internal fun checkNotRun(history: History): List<Violation> =
    history.refused.filter { it.outcome == Outcome.NOT_RUN }.mapNotNull { refusal ->
        val again =
            history.sent
                .filter { it.call == refusal.call && it.attempt > refusal.attempt }
                .minOfOrNull { it.at } ?: history.end
        val firstSent = history.calls.getValue(refusal.call).at
        val ran = startsOf(history, refusal.call).firstOrNull { it in firstSent..<again || it < refusal.at }
        if (ran == null) return@mapNotNull null
        val detail = "call ${refusal.call} was refused as not run at ${refusal.at} and started at $ran"
        Violation(Promise.NOT_RUN, detail, history.about(refusal.call))
    }

private fun startsOf(
    history: History,
    call: CallId,
) = history.engineStarts.filter { it.call == call }.map { it.at } +
    history.orders.filter { it.call == call }.map { it.at }

/** A call that may not be repeated runs at most once. */
internal fun checkAtMostOnce(history: History): List<Violation> =
    history.orders
        .groupBy { it.body }
        .filterValues { it.size > 1 }
        .map { (body, runs) ->
            Violation(Promise.AT_MOST_ONCE, "$body ran ${runs.size} times", history.about(runs.first().call))
        }
