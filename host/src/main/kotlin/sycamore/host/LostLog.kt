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
 * The log of a home that has ended, sealed.
 *
 * @property retainers the hosts that may keep records that are not in it, in groups of those named together.
 */
internal class LostLog(
    val home: HomeId,
    val items: List<Item>,
    val segments: List<Segment>,
) {
    val records: List<NumberedRecord> get() = segments.flatMap { it.records }
    val epoch: Epoch get() = segments.maxOfOrNull { it.epoch } ?: Epoch.FIRST
    private val last: Segment? get() = segments.lastOrNull { it.sealedBy == null }
    val retainers: List<List<HostName>>
        get() = listOfNotNull(last?.retainers, last?.formerRetainers).filter { it.isNotEmpty() }

    /** Whether anything but the seal is left. */
    val isFull: Boolean get() = segments.any { it.sealedBy == null }
}

/** Seals and reads logs of homes that have ended. */
internal class LogSeals(
    private val keys: KeyValue,
) {
    /** Seals the log of [lost] for [successor] and reads it; null when the service does not answer or another sealed it. */
    suspend fun seal(
        lost: HomeId,
        successor: HomeId,
    ): LostLog? {
        while (true) {
            val log = read(lost) ?: return null
            val seal = log.segments.lastOrNull()?.sealedBy
            if (seal != null) return log
            when (val write = writeSeal(log, successor)) {
                is WriteResult.Applied, is WriteResult.Conflict -> Unit
                is WriteResult.NotSent, is WriteResult.OutcomeUnknown -> if (!isAnswered(write, lost)) return null
            }
        }
    }

    /** Deletes all but the seal, which stays for longer than any process is paused. */
    suspend fun free(log: LostLog) {
        val seals = log.segments.zip(log.items).partition { (segment, _) -> segment.sealedBy != null }
        seals.first.forEach { (segment, item) -> keepForAWhile(segment, item) }
        seals.second.forEach { (_, item) -> keys.delete(item.key, item.version) }
    }

    private suspend fun keepForAWhile(
        seal: Segment,
        item: Item,
    ) {
        keys.put(item.key, Segments.encode(seal), item.version, SEAL_LEASE)
    }

    private suspend fun read(lost: HomeId): LostLog? {
        val read = keys.list(Segments.prefix(lost)) as? ReadResult.Found ?: return null
        val items = read.value.filter { it.value != null }
        return LostLog(lost, items, items.map { Segments.decode(it.value!!) })
    }

    private suspend fun writeSeal(
        log: LostLog,
        successor: HomeId,
    ): WriteResult {
        val next = (log.items.lastOrNull()?.let { Segments.sequence(it.key) } ?: 0) + 1
        val seal = Segment(log.home, "$successor seals", log.epoch, emptyList(), sealedBy = successor)
        return keys.put(Segments.key(log.home, next), Segments.encode(seal), Revision.ABSENT)
    }

    /** A write whose answer was lost is looked up by reading the log again; one that was not sent is given up. */
    private suspend fun isAnswered(
        write: WriteResult,
        lost: HomeId,
    ): Boolean = write is WriteResult.OutcomeUnknown && read(lost) != null

    private companion object {
        val SEAL_LEASE = 30.days
    }
}
