package sycamore.host

import sycamore.model.ProgramId
import sycamore.programs.NumberedRecord
import sycamore.programs.approximateBytes
import sycamore.services.Revision
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * The committed segments of a home's log, with the live records in each: those of programs that are not deleted yet.
 */
internal class LiveSegments {
    /**
     * One segment.
     *
     * @property sequence the number of the segment in the log.
     * @property version the revision of the stored segment.
     * @property bytes the approximate size of all records.
     * @property liveBytes the approximate size of the records of each program that is not deleted yet.
     */
    class Entry(
        val sequence: Long,
        val version: Revision,
        val bytes: Long,
        val liveBytes: Map<ProgramId, Long>,
    ) {
        /** The share of live records in the size of the segment. */
        val liveShare: Double get() = if (bytes == 0L) 0.0 else liveBytes.values.sum().toDouble() / bytes
    }

    private val lock = ReentrantLock()
    private val entries = sortedMapOf<Long, Entry>()

    /** The number of segments. */
    val size: Int get() = lock.withLock { entries.size }

    /** All segments but the last, which must not be deleted so that the sequence continues after it. */
    val older: List<Entry> get() = lock.withLock { entries.values.toList().dropLast(1) }

    /** Adds segment [sequence], which was written with [records]. */
    fun add(
        sequence: Long,
        version: Revision,
        records: List<NumberedRecord>,
    ) {
        val sizes = records.groupBy { it.program }.mapValues { (_, own) -> own.sumOf { it.record.approximateBytes } }
        lock.withLock { entries[sequence] = Entry(sequence, version, sizes.values.sum(), sizes) }
    }

    /** Marks all records of [program] as dead, since the program is deleted. */
    fun markDead(program: ProgramId) {
        lock.withLock {
            val held = entries.values.filter { program in it.liveBytes }
            held.forEach { entries[it.sequence] = Entry(it.sequence, it.version, it.bytes, it.liveBytes - program) }
        }
    }

    /** Removes segment [sequence], which has been deleted from the log. */
    fun remove(sequence: Long) {
        lock.withLock { entries.remove(sequence) }
    }
}
