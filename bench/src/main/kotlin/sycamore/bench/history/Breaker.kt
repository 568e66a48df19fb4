package sycamore.bench.history

import sycamore.model.Generation
import sycamore.programs.Outcome
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Changes a history so that one promise is broken in it; null when the history holds nothing to break. */
internal typealias Break = (List<Event>) -> List<Event>?

/** A way to break each promise, to show that its check catches it. */
internal val breaks: Map<Promise, Break> =
    mapOf(
        Promise.ORDER to ::swapStarts,
        Promise.HISTORY to ::forgetMessage,
        Promise.BUDGET to ::overspend,
        Promise.EVICTION to ::leaveCache,
        Promise.WHOLE_ANSWER to ::cutAnswer,
        Promise.NOT_RUN to ::denyRun,
        Promise.AT_MOST_ONCE to ::repeatOrder,
        Promise.LEAVING to ::workAfterLeaving,
        Promise.GRACEFUL_STOP to ::cutOffByStop,
        Promise.CONFIGURATION to ::revertConfiguration,
    )

private fun swapStarts(events: List<Event>): List<Event>? {
    val history = History(events)
    val starts = history.engineStarts.filter { it.call in history.calls }
    val pair =
        starts.firstNotNullOfOrNull { first ->
            val tag = history.calls.getValue(first.call).tag
            starts.firstOrNull { it !== first && isLaterTurn(history, first, it, tag) }?.let { first to it }
        } ?: return null
    val (first, second) = pair
    return events.map {
        when {
            it === first -> second.copy(at = first.at)
            it === second -> first.copy(at = second.at)
            else -> it
        }
    }
}

private fun isLaterTurn(
    history: History,
    first: EngineStarted,
    second: EngineStarted,
    tag: Tag,
): Boolean {
    val call = history.calls.getValue(second.call)
    return call.tag == tag && call.turn > history.calls.getValue(first.call).turn
}

private fun forgetMessage(events: List<Event>): List<Event>? {
    val start = events.filterIsInstance<EngineStarted>().firstOrNull { it.prompt.size > 1 } ?: return null
    return events.replace(start, start.copy(prompt = start.prompt.drop(2)))
}

private fun overspend(events: List<Event>): List<Event>? {
    val end = events.filterIsInstance<EngineFinished>().firstOrNull() ?: return null
    return events.replace(end, end.copy(tokens = Fleet.BUDGET.tokens + 1))
}

private fun leaveCache(events: List<Event>): List<Event>? {
    val over = events.filterIsInstance<ProgramOver>().firstOrNull() ?: return null
    val host = events.filterIsInstance<EngineStarted>().firstOrNull()?.host ?: return null
    return events + CacheLeft(events.last().at, host, over.tag)
}

private fun cutAnswer(events: List<Event>): List<Event>? {
    val answer = events.filterIsInstance<CallAnswered>().firstOrNull { it.text.length > 1 } ?: return null
    return events.replace(answer, answer.copy(text = answer.text.dropLast(1)))
}

private fun denyRun(events: List<Event>): List<Event>? {
    val answer = events.filterIsInstance<CallAnswered>().firstOrNull() ?: return null
    val refusal =
        CallRefused(
            answer.at,
            answer.tag,
            answer.turn,
            answer.call,
            answer.attempt,
            Outcome.NOT_RUN,
            "broken on purpose",
        )
    return events.replace(answer, refusal)
}

private fun repeatOrder(events: List<Event>): List<Event>? {
    val ran = events.filterIsInstance<OrderRan>().firstOrNull() ?: return null
    return events.flatMap { if (it === ran) listOf(ran, ran.copy()) else listOf(it) }
}

private fun workAfterLeaving(events: List<Event>): List<Event>? {
    val start = events.filterIsInstance<EngineStarted>().firstOrNull { it.at > LEFT_BEFORE } ?: return null
    return listOf(StopBegan(start.at - LEFT_BEFORE, start.host)) + events
}

private fun cutOffByStop(events: List<Event>): List<Event>? {
    val history = History(events)
    val answer =
        history.answered.firstOrNull { answer ->
            val sent = attemptOf(history, answer) ?: return@firstOrNull false
            history.faultsWithin(sent.at, answer.at).isEmpty()
        } ?: return null
    val sent = attemptOf(history, answer) ?: return null
    val cut = CallBroke(answer.at, answer.tag, answer.turn, answer.call, answer.attempt, "broken on purpose")
    return listOf(StopBegan(sent.at, sent.entry)) + events.replace(answer, cut)
}

private fun attemptOf(
    history: History,
    answer: CallAnswered,
) = history.sent.firstOrNull { it.call == answer.call && it.attempt == answer.attempt }

private fun revertConfiguration(events: List<Event>): List<Event>? {
    val seen = events.filterIsInstance<InForceSeen>().lastOrNull { it.generation > Generation.NONE } ?: return null
    return events + seen.copy(at = seen.at + 1.milliseconds, generation = Generation.NONE)
}

private fun List<Event>.replace(
    old: Event,
    new: Event,
): List<Event> = map { if (it === old) new else it }

private val LEFT_BEFORE = 5.seconds
