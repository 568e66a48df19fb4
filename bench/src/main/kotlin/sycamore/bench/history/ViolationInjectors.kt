package sycamore.bench.history

import sycamore.model.Generation
import sycamore.programs.Outcome
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Changes a history so that it violates one invariant; returns null if no event in it can be changed that way. */
internal typealias ViolationInjector = (List<Event>) -> List<Event>?

/** One injector for each invariant, to show that the check of that invariant detects a violation. */
internal val violationInjectors: Map<Invariant, ViolationInjector> =
    mapOf(
        Invariant.ORDER to ::swapEngineStarts,
        Invariant.HISTORY to ::dropPromptMessages,
        Invariant.BUDGET to ::exceedBudget,
        Invariant.EVICTION to ::leaveCacheBehind,
        Invariant.WHOLE_ANSWER to ::truncateAnswer,
        Invariant.NOT_RUN to ::reportAnswerAsNotRun,
        Invariant.AT_MOST_ONCE to ::runOrderTwice,
        Invariant.LEAVING to ::startCallAfterLeaving,
        Invariant.GRACEFUL_STOP to ::interruptCallDuringStop,
        Invariant.CONFIGURATION to ::revertConfiguration,
    )

private fun swapEngineStarts(events: List<Event>): List<Event>? {
    val history = History(events)
    val starts = history.engineStarts.filter { it.call in history.firstAttempts }
    val pair =
        starts.firstNotNullOfOrNull { first ->
            val tag = history.firstAttempts.getValue(first.call).tag
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
    val call = history.firstAttempts.getValue(second.call)
    return call.tag == tag && call.turn > history.firstAttempts.getValue(first.call).turn
}

private fun dropPromptMessages(events: List<Event>): List<Event>? {
    val start = events.filterIsInstance<EngineStarted>().firstOrNull { it.prompt.size > 1 } ?: return null
    return events.replace(start, start.copy(prompt = start.prompt.drop(2)))
}

private fun exceedBudget(events: List<Event>): List<Event>? {
    val end = events.filterIsInstance<EngineFinished>().firstOrNull() ?: return null
    return events.replace(end, end.copy(tokens = Fleet.BUDGET.tokens + 1))
}

private fun leaveCacheBehind(events: List<Event>): List<Event>? {
    val over = events.filterIsInstance<ProgramOver>().firstOrNull() ?: return null
    val host = events.filterIsInstance<EngineStarted>().firstOrNull()?.host ?: return null
    return events + CacheLeft(events.last().at, host, over.tag)
}

private fun truncateAnswer(events: List<Event>): List<Event>? {
    val answer = events.filterIsInstance<CallAnswered>().firstOrNull { it.text.length > 1 } ?: return null
    return events.replace(answer, answer.copy(text = answer.text.dropLast(1)))
}

private fun reportAnswerAsNotRun(events: List<Event>): List<Event>? {
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

private fun runOrderTwice(events: List<Event>): List<Event>? {
    val ran = events.filterIsInstance<OrderRan>().firstOrNull() ?: return null
    return events.flatMap { if (it === ran) listOf(ran, ran.copy()) else listOf(it) }
}

private fun startCallAfterLeaving(events: List<Event>): List<Event>? {
    val start = events.filterIsInstance<EngineStarted>().firstOrNull { it.at > TIME_SINCE_LEAVING } ?: return null
    return listOf(StopBegan(start.at - TIME_SINCE_LEAVING, start.host)) + events
}

private fun interruptCallDuringStop(events: List<Event>): List<Event>? {
    val history = History(events)
    val answer =
        history.answered.firstOrNull { answer ->
            val sent = sentAttemptOf(history, answer) ?: return@firstOrNull false
            history.faultsWithin(sent.at, answer.at).isEmpty()
        } ?: return null
    val sent = sentAttemptOf(history, answer) ?: return null
    val cut = CallBroke(answer.at, answer.tag, answer.turn, answer.call, answer.attempt, "broken on purpose")
    return listOf(StopBegan(sent.at, sent.entry)) + events.replace(answer, cut)
}

private fun sentAttemptOf(
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

/** The time between the stop of a host and the call that is made to start after it. */
private val TIME_SINCE_LEAVING = 5.seconds
