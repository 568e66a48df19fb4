package sycamore.bench.history

import sycamore.model.CallId
import sycamore.model.HostName
import sycamore.programs.Outcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How long after the beginning of its planned stop a host may still receive new calls. */
private val LEAVING_TIME_LIMIT = 2.seconds

/** How long a published configuration may take until it is in force in all daemons. */
private val APPLY_TIME_LIMIT = 7.seconds

/** Checks that no upstream starts a call later than [LEAVING_TIME_LIMIT] after its host began to leave. */
internal fun checkLeaving(history: History): List<Violation> =
    plannedStops(history).flatMap { stop ->
        upstreamStarts(history)
            .filter { it.host == stop.host && it.at > stop.from + LEAVING_TIME_LIMIT && it.at < stop.to }
            .map { start ->
                val detail = "${stop.host} began to leave at ${stop.from}, received call ${start.call} at ${start.at}"
                Violation(Invariant.LEAVING, detail, history.eventsOf(start.call))
            }
    }

/** Checks that a planned stop of a daemon interrupts none of the calls in progress there. */
internal fun checkGracefulStop(history: History): List<Violation> =
    plannedStops(history).flatMap { stop ->
        callAttempts(history)
            .filter { it.isInterrupted && isAffectedBy(history, stop, it) && isFaultFree(history, it) }
            .map { attempt ->
                val detail = "call ${attempt.call} was cut off while ${stop.host} stopped at ${stop.from}"
                Violation(Invariant.GRACEFUL_STOP, detail, history.eventsOf(attempt.call))
            }
    }

private class PlannedStop(
    val host: HostName,
    val from: Duration,
    val to: Duration,
)

private class UpstreamStart(
    val at: Duration,
    val host: HostName,
    val call: CallId,
)

private class CallAttempt(
    val from: Duration,
    val to: Duration,
    val entry: HostName,
    val call: CallId,
    val isInterrupted: Boolean,
)

private fun plannedStops(history: History): List<PlannedStop> =
    history.eventsOfType<StopBegan>().map { began ->
        val ended = history.eventsOfType<StopEnded>().firstOrNull { it.host == began.host && it.at >= began.at }
        PlannedStop(began.host, began.at, ended?.at ?: history.end)
    }

private fun upstreamStarts(history: History): List<UpstreamStart> =
    history.engineStarts.map { UpstreamStart(it.at, it.host, it.call) } +
        history.eventsOfType<OrderArrived>().map { UpstreamStart(it.at, it.host, it.call) }

private fun callAttempts(history: History): List<CallAttempt> =
    history.sent.map { sent ->
        val isThis = { call: CallId, attempt: Int -> call == sent.call && attempt == sent.attempt }
        val broke = history.interrupted.firstOrNull { isThis(it.call, it.attempt) }
        val refused = history.refused.firstOrNull { isThis(it.call, it.attempt) && it.outcome != Outcome.NOT_RUN }
        val to = broke?.at ?: refused?.at ?: sent.at
        CallAttempt(sent.at, to, sent.entry, sent.call, broke != null || refused != null)
    }

private fun isAffectedBy(
    history: History,
    stop: PlannedStop,
    attempt: CallAttempt,
): Boolean {
    if (attempt.from > stop.to || attempt.to < stop.from) return false
    return attempt.entry == stop.host ||
        upstreamStarts(history).any { it.call == attempt.call && it.host == stop.host }
}

private fun isFaultFree(
    history: History,
    attempt: CallAttempt,
): Boolean = history.faultsWithin(attempt.from, attempt.to).isEmpty()

/** Checks that the generation in force in a daemon never decreases, and reaches the last published one in time. */
internal fun checkConfiguration(history: History): List<Violation> =
    revertedGenerations(history) + lateGenerations(history)

private fun revertedGenerations(history: History): List<Violation> =
    history
        .eventsOfType<InForceSeen>()
        .groupBy { it.host to it.run }
        .values
        .flatMap { seen -> seen.zipWithNext() }
        .filter { (first, second) -> second.generation < first.generation }
        .map { (first, second) ->
            val detail = "${first.host} went from generation ${first.generation} to ${second.generation}"
            Violation(Invariant.CONFIGURATION, detail, listOf(first, second))
        }

private fun lateGenerations(history: History): List<Violation> =
    history.eventsOfType<InForceSeen>().mapNotNull { seen ->
        val due =
            history.eventsOfType<Published>().lastOrNull { it.at + APPLY_TIME_LIMIT < seen.at }
                ?: return@mapNotNull null
        if (seen.generation >= due.generation || !hadTimeToApply(history, seen, due)) return@mapNotNull null
        val detail =
            "${seen.host} has generation ${seen.generation} at ${seen.at}; ${due.generation} was published at ${due.at}"
        Violation(Invariant.CONFIGURATION, detail, listOf(due, seen))
    }

/** Whether the daemon had the complete time limit without a fault, up to the report [seen]. */
private fun hadTimeToApply(
    history: History,
    seen: InForceSeen,
    due: Published,
): Boolean {
    val from = maxOf(due.at, seen.at - APPLY_TIME_LIMIT)
    val firstSeen = history.eventsOfType<InForceSeen>().first { it.host == seen.host && it.run == seen.run }.at
    if (firstSeen + APPLY_TIME_LIMIT > seen.at) return false
    return history.faultsWithin(from, seen.at).none { it.hosts.isEmpty() || seen.host in it.hosts }
}
