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

/** The log of a home: records of all its programs, written in segments to the key-value service, one at a time. */
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
    private var bytes = 0L
    private var sequence = 0L
    private var lastWrite: ComparableTimeMark? = null
    private var named: List<HostName> = emptyList()
    private var formerlyNamed: List<HostName> = emptyList()

    /** The segments that hold records of programs that still live. */
    val segments = LiveSegments()

    /** The last number up to which all records are committed. */
    val committed: StateFlow<Long> = lastCommitted.asStateFlow()

    /** Completes with the successor when this home was taken over. */
    val ended = CompletableDeferred<HomeId>()

    /** The fencing number of what is written from now on. */
    @Volatile
    var epoch = Epoch.FIRST
        private set

    /** Hosts that a successor will surely ask for retained records, as the log says. */
    val committedRetainers: List<HostName> get() = lock.withLock { named }

    /** Bytes that are not committed. */
    val pendingBytes: Long get() = lock.withLock { bytes }

    /** Appends [record], the [version]th of its program. It is committed later. */
    fun append(
        version: Long,
        record: Record,
    ): Long = append(version, epoch, record)

    /** Appends [record], which was first written under [epoch] by a home that was taken over. */
    fun append(
        version: Long,
        epoch: Epoch,
        record: Record,
    ): Long {
        requireAlive()
        val number =
            lock.withLock {
                pending.addLast(NumberedRecord(nextNumber, version, epoch, record))
                bytes += record.approximateBytes
                nextNumber++
            }
        wake.trySend(Unit)
        return number
    }

    /** Raises the epoch above [taken], that of a home which this one takes over. */
    fun raise(taken: Epoch) {
        lock.withLock { epoch = maxOf(epoch, taken.next()) }
    }

    /** The records of [programs] that are not committed. */
    fun pending(programs: Set<ProgramId>): List<NumberedRecord> =
        lock.withLock {
            pending.filter {
                it.program in
                    programs
            }
        }

    /** The number of the last record. */
    fun lastNumber(): Long = lock.withLock { nextNumber - 1 }

    /** This home was taken over by [successor]. */
    fun end(successor: HomeId) {
        ended.complete(successor)
    }

    /** Fails with [HomeEnded] when this home was taken over. */
    fun requireAlive() {
        if (ended.isCompleted) throw HomeEnded(ended.getCompleted())
    }

    /** Writes segments until the home has ended or the caller is cancelled. */
    suspend fun run() {
        while (!ended.isCompleted) {
            if (!hasWork()) {
                wake.receive()
                continue
            }
            waitForPace()
            commit(nextSegment())
        }
    }

    /** Waits until all that was appended so far is committed. */
    suspend fun flush() {
        val last = lastNumber()
        committed.first { it >= last }
    }

    private fun hasWork(): Boolean = lock.withLock { pending.isNotEmpty() } || retainers() != committedRetainers

    private suspend fun waitForPace() {
        val passed = lastWrite?.elapsedNow() ?: return
        val wait = pace.interval - passed
        if (wait.isPositive()) delay(wait)
    }

    private fun nextSegment(): Segment {
        val wanted = retainers()
        return lock.withLock {
            val batch = takeBatch()
            Segment(home, "$home-${sequence + 1}", epoch, batch, wanted, stillAsked(wanted, batch))
        }
    }

    /** Retainers that were named before and may keep records that are not committed with [batch]. */
    private fun stillAsked(
        wanted: List<HostName>,
        batch: List<NumberedRecord>,
    ): List<HostName> =
        when {
            wanted != named -> named
            batch.size < pending.size -> formerlyNamed
            else -> emptyList()
        }

    private fun takeBatch(): List<NumberedRecord> {
        var weight = 0L
        return pending.takeWhile { record ->
            val isFirst = weight == 0L
            weight += record.record.approximateBytes
            isFirst || weight <= MAX_BATCH_BYTES
        }
    }

    private suspend fun commit(segment: Segment) {
        val next = sequence + 1
        val began = time.markNow()
        lastWrite = began
        val version = write(Segments.key(home, next), segment) ?: return
        pace.wrote(began.elapsedNow())
        sequence = next
        segments.add(next, version, segment.records)
        lock.withLock { settle(segment) }
        segment.records.lastOrNull()?.let { lastCommitted.value = it.number }
    }

    private fun settle(segment: Segment) {
        named = segment.retainers
        formerlyNamed = segment.formerRetainers
        repeat(segment.records.size) { bytes -= pending.removeFirst().record.approximateBytes }
    }

    /** Writes [segment] until it is there, and returns its version; null when this home has ended. */
    private suspend fun write(
        key: String,
        segment: Segment,
    ): Revision? {
        val value = Segments.encode(segment)
        while (!ended.isCompleted) {
            when (val write = keys.put(key, value, Revision.ABSENT)) {
                is WriteResult.Applied -> return write.version
                is WriteResult.Conflict -> return own(write.current, segment)
                is WriteResult.NotSent -> delay(RETRY)
                is WriteResult.OutcomeUnknown -> readBack(key)?.let { return own(it, segment) }
            }
        }
        return null
    }

    /** Whose segment stands at [key] after a write whose answer was lost; null when none does. */
    private suspend fun readBack(key: String): Item? {
        while (!ended.isCompleted) {
            val read = keys.get(key)
            if (read is ReadResult.Found) return read.value
            delay(RETRY)
        }
        return null
    }

    /** The version of [item] if it holds [segment]; else it is the seal of a successor. */
    private fun own(
        item: Item?,
        segment: Segment,
    ): Revision? {
        val value = item?.value ?: return null
        val found = Segments.decode(value)
        if (found.id == segment.id) return item.version
        end(found.sealedBy ?: found.home)
        return null
    }

    /** Wakes the writer, because the choice of retainers may have changed. */
    fun check() {
        wake.trySend(Unit)
    }

    private companion object {
        /** Records per segment, before compression. Texts that do not compress still fit into a value. */
        const val MAX_BATCH_BYTES = 700_000L
        val RETRY: Duration = 200.milliseconds
    }
}
