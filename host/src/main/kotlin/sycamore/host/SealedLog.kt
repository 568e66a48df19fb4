package sycamore.host

import sycamore.model.Epoch
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.programs.NumberedRecord
import sycamore.programs.Segment
import sycamore.programs.Segments
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import kotlin.time.Duration.Companion.days

/**
 * The sealed log of a home that has been taken over.
 *
 * @property items the stored segments, as items of the key-value service.
 * @property records the committed records.
 * @property epoch the highest epoch of the segments.
 * @property retainers the hosts that may keep records which are not in the log, in groups of those that were named
 *   together.
 */
internal class SealedLog(
    val home: HomeId,
    val items: List<Item>,
    val segments: List<Segment>,
) {
    val records: List<NumberedRecord> get() = segments.flatMap { it.records }
    val epoch: Epoch get() = segments.maxOfOrNull { it.epoch } ?: Epoch.FIRST
    private val lastOwnSegment: Segment? get() = segments.lastOrNull { it.sealedBy == null }
    val retainers: List<List<HostName>>
        get() = listOfNotNull(lastOwnSegment?.retainers, lastOwnSegment?.formerRetainers).filter { it.isNotEmpty() }

    /** Whether the log has segments other than the seal. */
    val hasOwnSegments: Boolean get() = segments.any { it.sealedBy == null }
}

/** Seals and reads the logs of homes that are taken over. */
internal class LogSealer(
    private val keys: KeyValue,
) {
    /**
     * Seals the log of [lost] in the name of [successor] and reads it. A log that is sealed already is only read.
     * Returns null if the key-value service does not respond.
     */
    suspend fun seal(
        lost: HomeId,
        successor: HomeId,
    ): SealedLog? {
        while (true) {
            val log = read(lost) ?: return null
            val seal = log.segments.lastOrNull()?.sealedBy
            if (seal != null) return log
            when (val write = writeSeal(log, successor)) {
                is WriteResult.Applied, is WriteResult.Conflict -> Unit
                is WriteResult.NotSent, is WriteResult.OutcomeUnknown -> if (!canContinue(write, lost)) return null
            }
        }
    }

    /** Deletes all segments except the seal, which expires after [SEAL_LEASE]. */
    suspend fun deleteSegments(log: SealedLog) {
        val seals = log.segments.zip(log.items).partition { (segment, _) -> segment.sealedBy != null }
        seals.first.forEach { (segment, item) -> scheduleExpiry(segment, item) }
        seals.second.forEach { (_, item) -> keys.delete(item.key, item.version) }
    }

    private suspend fun scheduleExpiry(
        seal: Segment,
        item: Item,
    ) {
        keys.put(item.key, Segments.encode(seal), item.version, SEAL_LEASE)
    }

    private suspend fun read(lost: HomeId): SealedLog? {
        val read = keys.list(Segments.prefix(lost)) as? ReadResult.Found ?: return null
        val items = read.value.filter { it.value != null }
        return SealedLog(lost, items, items.map { Segments.decode(it.value!!) })
    }

    private suspend fun writeSeal(
        log: SealedLog,
        successor: HomeId,
    ): WriteResult {
        val next = (log.items.lastOrNull()?.let { Segments.sequence(it.key) } ?: 0) + 1
        val seal = Segment(log.home, "$successor seals", log.epoch, emptyList(), sealedBy = successor)
        return keys.put(Segments.key(log.home, next), Segments.encode(seal), Revision.ABSENT)
    }

    /**
     * Whether to go on after [write]. If its outcome is unknown, the log is read again; if it was not sent, sealing
     * fails.
     */
    private suspend fun canContinue(
        write: WriteResult,
        lost: HomeId,
    ): Boolean = write is WriteResult.OutcomeUnknown && read(lost) != null

    private companion object {
        /**
         * How long a seal lasts once the other segments are deleted. It has to be longer than any process is paused.
         */
        val SEAL_LEASE = 30.days
    }
}
