package sycamore.host

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.first
import sycamore.model.Epoch
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.ProgramId
import sycamore.programs.NumberedRecord
import sycamore.programs.Record
import sycamore.programs.Segment
import sycamore.programs.Segments
import sycamore.programs.approximateBytes
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * The log of a home. Records of all its programs get consecutive numbers when they are appended. They are committed
 * later, in segments that are written to the key-value service one at a time.
 *
 * @param retainers chooses the hosts that retain records from now on.
 */
internal class HomeLog(
    val home: HomeId,
    private val keys: KeyValue,
    private val pace: CommitPace,
    private val time: TimeSource.WithComparableMarks,
    private val retainers: () -> List<HostName>,
) {
    private val lock = ReentrantLock()
    private val pending = ArrayDeque<NumberedRecord>()
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val lastCommitted = MutableStateFlow(0L)
    private var nextNumber = 1L
    private var uncommittedBytes = 0L
    private var sequence = 0L
    private var lastWrite: ComparableTimeMark? = null
    private var namedRetainers: List<HostName> = emptyList()
    private var formerRetainers: List<HostName> = emptyList()

    /** The committed segments and the live records in them. */
    val segments = LiveSegments()

    /** The number up to which all records are committed. */
    val committedNumber: StateFlow<Long> = lastCommitted.asStateFlow()

    /** Completes with the successor when this home has been taken over. */
    val ended = CompletableDeferred<HomeId>()

    /** The fencing number of the records that are appended from now on. */
    @Volatile
    var epoch = Epoch.FIRST
        private set

    /** The retainers that the last committed segment names. A successor requests records from all of them. */
    val committedRetainers: List<HostName> get() = lock.withLock { namedRetainers }

    /** The approximate size of the records that are not committed, in bytes. */
    val pendingBytes: Long get() = lock.withLock { uncommittedBytes }

    /** Appends [record], which has number [version] among the records of its program. */
    fun append(
        version: Long,
        record: Record,
    ): Long = append(version, epoch, record)

    /** Appends [record], which was first written in [epoch], possibly by a home that has been taken over since. */
    fun append(
        version: Long,
        epoch: Epoch,
        record: Record,
    ): Long {
        requireNotEnded()
        val number =
            lock.withLock {
                pending.addLast(NumberedRecord(nextNumber, version, epoch, record))
                uncommittedBytes += record.approximateBytes
                nextNumber++
            }
        wake.trySend(Unit)
        return number
    }

    /** Raises the epoch above [former], the epoch of a home that this one takes over. */
    fun raiseEpoch(former: Epoch) {
        lock.withLock { epoch = maxOf(epoch, former.next()) }
    }

    /** The records of [programs] that are not committed. */
    fun pending(programs: Set<ProgramId>): List<NumberedRecord> =
        lock.withLock { pending.filter { it.program in programs } }

    /** The number of the last record that was appended. */
    fun lastNumber(): Long = lock.withLock { nextNumber - 1 }

    /** Ends the log, since [successor] has taken over this home. */
    fun markEnded(successor: HomeId) {
        ended.complete(successor)
    }

    /** Throws [HomeEndedException] if this home has been taken over. */
    fun requireNotEnded() {
        if (ended.isCompleted) throw HomeEndedException(ended.getCompleted())
    }

    /** Writes segments until the home has ended or the caller is cancelled. */
    suspend fun run() {
        while (!ended.isCompleted) {
            if (!needsWrite()) {
                wake.receive()
                continue
            }
            awaitWriteInterval()
            commit(nextSegment())
        }
    }

    /** Waits until all records that have been appended so far are committed. */
    suspend fun flush() {
        val last = lastNumber()
        committedNumber.first { it >= last }
    }

    private fun needsWrite(): Boolean = lock.withLock { pending.isNotEmpty() } || retainers() != committedRetainers

    private suspend fun awaitWriteInterval() {
        val passed = lastWrite?.elapsedNow() ?: return
        val wait = pace.interval - passed
        if (wait.isPositive()) delay(wait)
    }

    private fun nextSegment(): Segment {
        val chosen = retainers()
        return lock.withLock {
            val records = nextRecords()
            Segment(home, "$home-${sequence + 1}", epoch, records, chosen, formerRetainersOf(chosen, records))
        }
    }

    /** Returns the retainers that were named before and may keep records which are not committed with [records]. */
    private fun formerRetainersOf(
        chosen: List<HostName>,
        records: List<NumberedRecord>,
    ): List<HostName> =
        when {
            chosen != namedRetainers -> namedRetainers
            records.size < pending.size -> formerRetainers
            else -> emptyList()
        }

    private fun nextRecords(): List<NumberedRecord> {
        var size = 0L
        return pending.takeWhile { record ->
            val isFirst = size == 0L
            size += record.record.approximateBytes
            isFirst || size <= MAX_SEGMENT_BYTES
        }
    }

    private suspend fun commit(segment: Segment) {
        val next = sequence + 1
        val startedAt = time.markNow()
        lastWrite = startedAt
        val version = write(Segments.key(home, next), segment) ?: return
        pace.recordWrite(startedAt.elapsedNow())
        sequence = next
        segments.add(next, version, segment.records)
        lock.withLock { removeCommitted(segment) }
        segment.records.lastOrNull()?.let { lastCommitted.value = it.number }
    }

    private fun removeCommitted(segment: Segment) {
        namedRetainers = segment.retainers
        formerRetainers = segment.formerRetainers
        repeat(segment.records.size) { uncommittedBytes -= pending.removeFirst().record.approximateBytes }
    }

    /**
     * Writes [segment], with retries until it is stored, and returns its version. Returns null if this home has ended.
     */
    private suspend fun write(
        key: String,
        segment: Segment,
    ): Revision? {
        val value = Segments.encode(segment)
        while (!ended.isCompleted) {
            when (val write = keys.put(key, value, Revision.ABSENT)) {
                is WriteResult.Applied -> return write.version
                is WriteResult.Conflict -> return versionIfOwn(write.current, segment)
                is WriteResult.NotSent -> delay(RETRY_DELAY)
                is WriteResult.OutcomeUnknown -> readBack(key)?.let { return versionIfOwn(it, segment) }
            }
        }
        return null
    }

    /** Reads the item at [key] after a write with an unknown outcome. Returns null if there is none. */
    private suspend fun readBack(key: String): Item? {
        while (!ended.isCompleted) {
            val read = keys.get(key)
            if (read is ReadResult.Found) return read.value
            delay(RETRY_DELAY)
        }
        return null
    }

    /**
     * Returns the version of [item] if it contains [segment]. If not, it is the seal of a successor, and the log ends.
     */
    private fun versionIfOwn(
        item: Item?,
        segment: Segment,
    ): Revision? {
        val value = item?.value ?: return null
        val found = Segments.decode(value)
        if (found.id == segment.id) return item.version
        markEnded(found.sealedBy ?: found.home)
        return null
    }

    /** Wakes the writer, since the choice of retainers may have changed. */
    fun wakeWriter() {
        wake.trySend(Unit)
    }

    private companion object {
        /**
         * Limit of one segment before compression. Even incompressible records fit into a value of the key-value
         * service.
         */
        const val MAX_SEGMENT_BYTES = 700_000L
        val RETRY_DELAY: Duration = 200.milliseconds
    }
}
