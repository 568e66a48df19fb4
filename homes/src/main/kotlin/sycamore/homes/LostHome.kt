package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import sycamore.daemon.log.warning
import sycamore.model.HomeId
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import sycamore.turns.LogRecord
import sycamore.turns.LogSegment
import sycamore.turns.LogSegments
import sycamore.turns.Retainer
import kotlin.time.Duration.Companion.minutes

private val log = KotlinLogging.logger {}

/**
 * The log of a home that has ended, sealed.
 *
 * @property retainers those that may keep records that are not in it, in groups of those named together.
 */
internal class LostHome(
    val home: HomeId,
    private val items: List<Item>,
    private val segments: List<LogSegment>,
) {
    private val written = segments.filter { it.sealedBy == null }

    /** Records that were committed. */
    val records: List<LogRecord> get() = written.flatMap { it.records }

    val retainers: List<List<Retainer>>
        get() =
            written
                .lastOrNull()
                ?.let {
                    listOf(
                        it.retainers,
                        it.formerRetainers,
                    )
                }.orEmpty()
                .filter { it.isNotEmpty() }

    /** Keys of all but the seal. */
    val writtenKeys: List<String>
        get() = items.zip(segments).filter { (_, segment) -> segment.sealedBy == null }.map { (item, _) -> item.key }
}

/** Seals and reads the logs of homes that have ended. */
internal class LogSeals(
    private val keys: KeyValue,
) {
    /** Seals the log of [lost] for [successor] and reads it; null when the service does not answer. */
    suspend fun seal(
        lost: HomeId,
        successor: HomeId,
    ): LostHome? {
        while (true) {
            val found = read(lost) ?: return null
            if (found.segments.lastOrNull()?.sealedBy != null) return LostHome(lost, found.items, found.segments)
            val next = (found.items.lastOrNull()?.let { LogSegments.sequence(it.key) } ?: 0) + 1
            val seal = LogSegment(lost, "$successor seals", emptyList(), sealedBy = successor)
            val write = keys.put(LogSegments.key(lost, next), LogSegments.encode(seal), Revision.ABSENT, SEAL_LEASE)
            when (write) {
                // The home's next segment would stand where the seal is, so that what was read is all there is.
                is WriteResult.Applied -> return LostHome(lost, found.items, found.segments)
                is WriteResult.NotSent -> {
                    log.warning("log-not-sealed", "home" to lost, "detail" to write.reason)
                    return null
                }
                is WriteResult.Conflict, is WriteResult.OutcomeUnknown -> continue
            }
        }
    }

    /** Deletes the segments of [lost]; its seal stays for longer than any process is paused. */
    suspend fun free(lost: LostHome) {
        lost.writtenKeys.chunked(KeyValue.MAX_KEYS).forEach { keys.remove(it) }
    }

    private class Log(
        val items: List<Item>,
        val segments: List<LogSegment>,
    )

    private suspend fun read(lost: HomeId): Log? {
        val read =
            when (val read = keys.list(LogSegments.prefix(lost))) {
                is ReadResult.Found -> read
                is ReadResult.Unreachable -> {
                    log.warning("log-not-read", "home" to lost, "detail" to read.reason)
                    return null
                }
            }
        val items = read.value.filter { it.value != null }
        return Log(items, items.map { LogSegments.decode(it.value!!) })
    }

    private companion object {
        /** Programs of the lost home are kept for a minute or so; a process that was paused for longer has none left. */
        val SEAL_LEASE = 10.minutes
    }
}
