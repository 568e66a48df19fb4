package sycamore.turns

import sycamore.routing.AttemptId

/**
 * A record of a home's log that is not committed yet.
 *
 * @property content what [record] contains; null if it was adopted from another log, as bytes.
 */
data class LogEntry(
    val record: LogRecord,
    val content: TurnRecord?,
)

/**
 * Condenses [entries], which follow one another in a log, for their commit. Turns that started and ended within them, and whose
 * texts no later turn needs, become one [TurnsCounted] for each program. A successor of the home reads the whole log before it
 * serves, so the log should be short.
 *
 * The last of the returned records has the number of the last entry, so that readers know which records are committed.
 */
fun condense(entries: List<LogEntry>): List<LogRecord> {
    val starts = entries.mapNotNull { it.content as? TurnStarted }.filter { it.hasNoText }.associateBy { it.turn }
    val ended = entries.filter { (it.content as? TurnFinished)?.isCountedOnly(starts) == true }
    val counted = ended.groupBy { it.content!!.program }.values.map { countedRecord(it, starts) }
    val replaced = ended.mapTo(HashSet()) { it.content?.turn }
    val others = entries.filter { it.content == null || it.content.turn !in replaced }.map { it.record }
    return (others + counted).sortedBy { it.number }
}

/** The record that replaces those of the turns that [ended], which belong to one program. */
private fun countedRecord(
    ended: List<LogEntry>,
    starts: Map<AttemptId, TurnStarted>,
): LogRecord {
    val ends = ended.map { it.content as TurnFinished }
    val counted =
        TurnsCounted(
            program = ends.first().program,
            turns = ends.map { it.turn },
            tokens = ends.map { it.tokens },
            isRegistered = ends.any { starts.getValue(it.turn).isRegistered },
        )
    return LogRecord(ended.last().record.number, TurnRecords.encode(counted))
}

private fun TurnFinished.isCountedOnly(starts: Map<AttemptId, TurnStarted>) = output.isEmpty() && turn in starts

/** The turn of a record that concerns a single one. */
private val TurnRecord.turn: AttemptId? get() =
    when (this) {
        is TurnStarted -> turn
        is TurnEnd -> turn
        is TurnsCounted -> null
    }
