package sycamore.bench.history

import sycamore.model.CallId
import sycamore.model.HostName
import sycamore.programs.Outcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How long after its stop began a host may still receive new work. */
private val LEAVING_LIMIT = 2.seconds

/** How long after its publish a configuration may take until it is in force everywhere. */
private val SPREAD_LIMIT = 7.seconds

/** No upstream starts a call later than [LEAVING_LIMIT] after its host began to leave. */
internal fun checkLeaving(history: History): List<Violation> =
    stops(history).flatMap { stop ->
        starts(history)
            .filter { it.host == stop.host && it.at > stop.from + LEAVING_LIMIT && it.at < stop.to }
            .map { start ->
                val detail = "${stop.host} began to leave at ${stop.from} and got call ${start.call} at ${start.at}"
                Violation(Promise.LEAVING, detail, history.about(start.call))
            }
    }

/** A call that was in progress in a daemon that stops in a planned way is not cut off. */
internal fun checkGracefulStop(history: History): List<Violation> =
    stops(history).flatMap { stop ->
        endings(history)
            .filter { it.isCut && wasTouched(history, stop, it) && isUndisturbed(history, it) }
            .map { ending ->
                val detail = "call ${ending.call} was cut off while ${stop.host} stopped at ${stop.from}"
                Violation(Promise.GRACEFUL_STOP, detail, history.about(ending.call))
            }
    }

private class Stop(
    val host: HostName,
    val from: Duration,
    val to: Duration,
)

private class Run(
    val at: Duration,
    val host: HostName,
    val call: CallId,
)

private class Ending(
    val from: Duration,
    val to: Duration,
    val entry: HostName,
    val call: CallId,
    val isCut: Boolean,
)

private fun stops(history: History): List<Stop> =
    history.of<StopBegan>().map { began ->
        val ended = history.of<StopEnded>().firstOrNull { it.host == began.host && it.at >= began.at }
        Stop(began.host, began.at, ended?.at ?: history.end)
    }

private fun starts(history: History): List<Run> =
    history.engineStarts.map { Run(it.at, it.host, it.call) } +
        history.of<OrderArrived>().map { Run(it.at, it.host, it.call) }

private fun endings(history: History): List<Ending> =
    history.sent.map { sent ->
        val isThis = { call: CallId, attempt: Int -> call == sent.call && attempt == sent.attempt }
        val broke = history.broke.firstOrNull { isThis(it.call, it.attempt) }
        val refused = history.refused.firstOrNull { isThis(it.call, it.attempt) && it.outcome != Outcome.NOT_RUN }
        val to = broke?.at ?: refused?.at ?: sent.at
        Ending(sent.at, to, sent.entry, sent.call, broke != null || refused != null)
    }

private fun wasTouched(
    history: History,
    stop: Stop,
    ending: Ending,
): Boolean {
    if (ending.from > stop.to || ending.to < stop.from) return false
    return ending.entry == stop.host || starts(history).any { it.call == ending.call && it.host == stop.host }
}

private fun isUndisturbed(
    history: History,
    ending: Ending,
): Boolean = history.faultsWithin(ending.from, ending.to).isEmpty()

/** The generation in force in a daemon never goes down, and reaches the last published one in time. */
internal fun checkConfiguration(history: History): List<Violation> = reverted(history) + late(history)

private fun reverted(history: History): List<Violation> =
    history
        .of<InForceSeen>()
        .groupBy { it.host to it.run }
        .values
        .flatMap { seen -> seen.zipWithNext() }
        .filter { (first, second) -> second.generation < first.generation }
        .map { (first, second) ->
            val detail = "${first.host} went from generation ${first.generation} to ${second.generation}"
            Violation(Promise.CONFIGURATION, detail, listOf(first, second))
        }

private fun late(history: History): List<Violation> =
    history.of<InForceSeen>().mapNotNull { seen ->
        val due = history.of<Published>().lastOrNull { it.at + SPREAD_LIMIT < seen.at } ?: return@mapNotNull null
        if (seen.generation >= due.generation || !isDue(history, seen, due)) return@mapNotNull null
        val detail = "${seen.host} has generation ${seen.generation} at ${seen.at}; ${due.generation} came at ${due.at}"
        Violation(Promise.CONFIGURATION, detail, listOf(due, seen))
    }

/** Whether the daemon had the whole time limit without a fault, up to when it was seen. */
private fun isDue(
    history: History,
    seen: InForceSeen,
    due: Published,
): Boolean {
    val from = maxOf(due.at, seen.at - SPREAD_LIMIT)
    val firstSeen = history.of<InForceSeen>().first { it.host == seen.host && it.run == seen.run }.at
    if (firstSeen + SPREAD_LIMIT > seen.at) return false
    return history.faultsWithin(from, seen.at).none { it.hosts.isEmpty() || seen.host in it.hosts }
}
