package sycamore.host

import sycamore.model.ProgramId
import sycamore.programs.NumberedRecord
import sycamore.programs.approximateBytes
import sycamore.services.Revision
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Which committed segments of a home's log still hold records of programs that live. */
internal class LiveSegments {
    /** One segment. [live] is the weight in bytes of each program's records. */
    class Entry(
        val sequence: Long,
        val version: Revision,
        val weight: Long,
        val live: Map<ProgramId, Long>,
    ) {
        /** The share of the segment that is still needed. */
        val liveShare: Double get() = if (weight == 0L) 0.0 else live.values.sum().toDouble() / weight
    }

    private val lock = ReentrantLock()
    private val entries = sortedMapOf<Long, Entry>()

    /** How many segments there are. */
    val size: Int get() = lock.withLock { entries.size }

    /** All segments but the last, which has to stay so that the sequence goes on after it. */
    val older: List<Entry> get() = lock.withLock { entries.values.toList().dropLast(1) }

    /** Segment [sequence] was written with [records]. */
    fun add(
        sequence: Long,
        version: Revision,
        records: List<NumberedRecord>,
    ) {
        val weights = records.groupBy { it.program }.mapValues { (_, own) -> own.sumOf { it.record.approximateBytes } }
        lock.withLock { entries[sequence] = Entry(sequence, version, weights.values.sum(), weights) }
    }

    /** Nothing of [program] is needed any more. */
    fun free(program: ProgramId) {
        lock.withLock {
            val held = entries.values.filter { program in it.live }
            held.forEach { entries[it.sequence] = Entry(it.sequence, it.version, it.weight, it.live - program) }
        }
    }

    /** Segment [sequence] was deleted. */
    fun remove(sequence: Long) {
        lock.withLock { entries.remove(sequence) }
    }
}
