package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import sycamore.daemon.log.warning
import sycamore.model.Decoded
import sycamore.model.HomeId
import sycamore.model.validOrNull
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import sycamore.turns.LogRecord
import sycamore.turns.LogSegment
import sycamore.turns.LogSegments
import sycamore.turns.Retainer
import sycamore.turns.joinRecords
import kotlin.time.Duration.Companion.minutes

// Log lines carry this logger name, which is independent of the class name.
private val log = KotlinLogging.logger("sycamore.homes.LostHome")

/**
 * The sealed log of a home that has been taken over.
 *
 * @property retainers the retainers that may keep records which are not in the log, in groups of those that were named
 *     together.
 */
internal class SealedLog(
    val home: HomeId,
    private val items: List<Item>,
    private val segments: List<LogSegment>,
) {
    private val ownSegments = segments.filter { it.sealedBy == null }

    /**
     * The records that the home had committed, and those of [retained], which retainers keep, that it had not, in the
     * order of their numbers.
     */
    fun recordsWith(retained: List<LogRecord>): List<LogRecord> {
        val committedNumber = ownSegments.maxOfOrNull { it.lastNumber } ?: 0
        val uncommitted =
            retained
                .filter {
                    it.number > committedNumber
                }.distinctBy { it.number }
                .sortedBy { it.number }
        return joinRecords(ownSegments) + uncommitted
    }

    val retainers: List<List<Retainer>>
        get() {
            val last = ownSegments.lastOrNull() ?: return emptyList()
            return listOf(last.retainers, last.formerRetainers).filter { it.isNotEmpty() }
        }

    /** The keys of all segments except the seal. */
    val segmentKeys: List<String>
        get() = items.zip(segments).filter { (_, segment) -> segment.sealedBy == null }.map { (item, _) -> item.key }
}

/** Seals and reads the logs of homes that are taken over. */
internal class LogSealer(
    private val keys: KeyValue,
) {
    /**
     * Seals the log of [lost] in the name of [successor] and reads it. Returns null if the key-value service does not
     * respond.
     */
    suspend fun seal(
        lost: HomeId,
        successor: HomeId,
    ): SealedLog? {
        while (true) {
            val found = read(lost) ?: return null
            if (found.segments.lastOrNull()?.sealedBy != null) return SealedLog(lost, found.items, found.segments)
            val next = (found.items.lastOrNull()?.let { LogSegments.sequence(it.key) } ?: 0) + 1
            val seal = LogSegment(lost, "$successor seals", emptyList(), sealedBy = successor)
            val write = keys.put(LogSegments.key(lost, next), LogSegments.encode(seal), Revision.ABSENT, SEAL_LEASE)
            when (write) {
                // The seal takes the key of the next segment, so the home can write no more and the log that was read
                // is complete.
                is WriteResult.Applied -> return SealedLog(lost, found.items, found.segments)
                is WriteResult.NotSent -> {
                    log.warning("log-not-sealed", "home" to lost, "detail" to write.reason)
                    return null
                }
                is WriteResult.Conflict, is WriteResult.OutcomeUnknown -> continue
            }
        }
    }

    /** Deletes the segments of [lost]. Its seal lasts for longer than any process is paused. */
    suspend fun deleteSegments(lost: SealedLog) {
        lost.segmentKeys.chunked(KeyValue.MAX_KEYS).forEach { keys.remove(it) }
    }

    private class StoredLog(
        val items: List<Item>,
        val segments: List<LogSegment>,
    )

    private suspend fun read(lost: HomeId): StoredLog? {
        val read =
            when (val read = keys.list(LogSegments.prefix(lost))) {
                is ReadResult.Found -> read
                is ReadResult.Unreachable -> {
                    log.warning("log-not-read", "home" to lost, "detail" to read.reason)
                    return null
                }
            }
        val items = read.value.filter { it.value != null }
        val segments = items.map { LogSegments.decode(it.value!!) }
        val invalid = segments.firstNotNullOfOrNull { it as? Decoded.Invalid }
        // Without the segment, turns that were acknowledged would be unknown.
        if (invalid !=
            null
        ) {
            return null.also { log.warning("log-not-read", "home" to lost, "detail" to invalid.reason) }
        }
        return StoredLog(items, segments.mapNotNull { it.validOrNull() })
    }

    private companion object {
        /**
         * How long a seal lasts. Idle programs are kept for 5 minutes, so a process of the lost home that was paused
         * for longer than this has none left.
         */
        val SEAL_LEASE = 10.minutes
    }
}
