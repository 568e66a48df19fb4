package sycamore.bench.history

import sycamore.model.CallId
import sycamore.programs.Outcome

/** Checks that each answer a caller received is byte for byte an answer that an upstream gave to the same call. */
internal fun checkCompleteAnswer(history: History): List<Violation> {
    val produced = HashMap<CallId, MutableSet<String>>()
    history.engineEnds.forEach { produced.getOrPut(it.call) { HashSet() } += it.text }
    history.orders.forEach { produced.getOrPut(it.call) { HashSet() } += it.answer }
    return history.answered.mapNotNull { answer ->
        val texts = produced[answer.call].orEmpty()
        if (answer.text in texts) return@mapNotNull null
        val detail = "turn ${answer.turn} of ${answer.tag}: expected one of $texts, found ${answer.text}"
        Violation(Invariant.WHOLE_ANSWER, detail, history.eventsOf(answer.call))
    }
}

/** Checks that a call refused as not run had not started, and does not start until its caller sends it again. */
internal fun checkNotRun(history: History): List<Violation> =
    history.refused.filter { it.outcome == Outcome.NOT_RUN }.mapNotNull { refusal ->
        val again =
            history.sent
                .filter { it.call == refusal.call && it.attempt > refusal.attempt }
                .minOfOrNull { it.at } ?: history.end
        val firstSent = history.firstAttempts.getValue(refusal.call).at
        val startedAt = startTimesOf(history, refusal.call).firstOrNull { it in firstSent..<again || it < refusal.at }
        if (startedAt == null) return@mapNotNull null
        val detail = "call ${refusal.call} was refused as not run at ${refusal.at} and started at $startedAt"
        Violation(Invariant.NOT_RUN, detail, history.eventsOf(refusal.call))
    }

private fun startTimesOf(
    history: History,
    call: CallId,
) = history.engineStarts.filter { it.call == call }.map { it.at } +
    history.orders.filter { it.call == call }.map { it.at }

/** Checks that each non-idempotent call runs at most once. */
internal fun checkAtMostOnce(history: History): List<Violation> =
    history.orders
        .groupBy { it.body }
        .filterValues { it.size > 1 }
        .map { (body, runs) ->
            Violation(Invariant.AT_MOST_ONCE, "$body ran ${runs.size} times", history.eventsOf(runs.first().call))
        }
