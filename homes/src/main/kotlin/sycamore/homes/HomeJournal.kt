package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.homes.homeEntry
import sycamore.model.HomeId
import sycamore.model.validOrNull
import sycamore.services.Backoff
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import sycamore.turns.HomeKeys
import sycamore.turns.LogEntry
import sycamore.turns.LogRecord
import sycamore.turns.LogSegment
import sycamore.turns.LogSegments
import sycamore.turns.Retainer
import sycamore.turns.TurnRecord
import sycamore.turns.TurnRecords
import sycamore.turns.condense
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** The [records] to send to a retainer. Once it keeps them, it has all records up to [lastNumber] that it needs. */
internal class RecordBatch(
    val records: List<LogRecord>,
    val lastNumber: Long,
)

/** Thrown when a home must not continue, because [successor] has taken it over. */
internal class HomeEndedException(
    val successor: HomeId,
) : Exception("this home was taken over by $successor")

/**
 * The log of a home. Records get consecutive numbers when they are appended. They are committed later, in segments that
 * are written to the key-value service one at a time. Until then retainers keep them.
 *
 * @param maxValueBytes the size of the largest value that the key-value service stores.
 * @param chooseRetainers chooses the retainers that keep records from now on, given those that the log names at
 *     present.
 */
internal class HomeJournal(
    val home: HomeId,
    private val keys: KeyValue,
    private val time: TimeSource.WithComparableMarks,
    maxValueBytes: Int,
    private val chooseRetainers: (named: List<Retainer>) -> List<Retainer>,
) {
    /**
     * A record that is not committed yet.
     *
     * @property isCommittedElsewhere whether the record is stored already, in the log of a home that was taken over.
     */
    private class Pending(
        val entry: LogEntry,
        val since: ComparableTimeMark,
        val isCommittedElsewhere: Boolean,
    ) {
        val record: LogRecord get() = entry.record
    }

    /** Limit of one segment before compression. Even incompressible records, with their numbers, fit into a value. */
    private val maxSegmentBytes = (maxValueBytes * SEGMENT_SHARE).toInt()

    private val lock = ReentrantLock()
    private val pending = ArrayDeque<Pending>()
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val appended = MutableStateFlow(0L)
    private val lastCommitted = MutableStateFlow(0L)
    private var pendingBytes = 0L
    private var sequence = 0L

    /** The number of bytes of the first pending record that earlier segments contain. */
    private var continuedBytes = 0
    private var formerRetainers: List<Retainer> = emptyList()
    private var lastWrite: ComparableTimeMark? = null
    private val backoff = Backoff.shortPauses()

    /** The retainers that the last committed segment names. A successor requests records from all of them. */
    val namedRetainers = MutableStateFlow<List<Retainer>>(emptyList())

    /** Completes once the first segment has been written, so that a successor finds the log. */
    val opened = CompletableDeferred<Unit>()

    /** The number of the last record that was appended. */
    val lastNumber: StateFlow<Long> = appended.asStateFlow()

    /** The number up to which all records are committed. */
    val committedNumber: StateFlow<Long> = lastCommitted.asStateFlow()

    /** Whether records wait to be committed. */
    val hasUncommitted: Boolean get() = lastNumber.value > committedNumber.value

    /** Completes with the successor when this home has been taken over. */
    val ended = CompletableDeferred<HomeId>()

    /** Whether records have to be committed at once, since too few retainers can keep them. */
    @Volatile
    var isUrgent = false
        set(value) {
            field = value
            if (value) wake.trySend(Unit)
        }

    /** Appends [record] and returns its number. */
    fun append(record: TurnRecord): Long =
        append(listOf(TurnRecords.encode(record)), record, isCommittedElsewhere = false)

    /**
     * Appends [records] of a home that was taken over. Retainers don't have to keep them, since the log of that home is
     * deleted only after this log has committed them.
     */
    fun appendAdopted(records: List<ByteArray>) {
        append(records, content = null, isCommittedElsewhere = true)
    }

    private fun append(
        records: List<ByteArray>,
        content: TurnRecord?,
        isCommittedElsewhere: Boolean,
    ): Long {
        requireNotEnded()
        return lock.withLock {
            val wasEmpty = pending.isEmpty()
            var number = appended.value
            val now = time.markNow()
            for (bytes in records) {
                pending.addLast(Pending(LogEntry(LogRecord(++number, bytes), content), now, isCommittedElsewhere))
                if (!isCommittedElsewhere) pendingBytes += bytes.size
            }
            appended.value = number
            if (wasEmpty || pendingBytes >= COMMIT_THRESHOLD_BYTES) wake.trySend(Unit)
            number
        }
    }

    /** Returns the next records after [number] that retainers have to keep. */
    fun batchAbove(number: Long): RecordBatch =
        lock.withLock {
            var bytes = 0
            var upTo = maxOf(number, lastCommitted.value)
            val records = ArrayList<LogRecord>()
            for (next in pending) {
                if (next.record.number <= upTo) continue
                if (bytes >= MAX_BATCH_BYTES) break
                upTo = next.record.number
                if (next.isCommittedElsewhere) continue
                records += next.record
                bytes += next.record.bytes.size
            }
            RecordBatch(records, upTo)
        }

    /** Throws [HomeEndedException] if this home has been taken over. */
    fun requireNotEnded() {
        if (ended.isCompleted) throw HomeEndedException(ended.getCompleted())
    }

    /** Ends the journal, since [successor] has taken over this home. */
    fun markEnded(successor: HomeId) {
        if (ended.complete(successor)) log.warn { "home $home was taken over by $successor" }
    }

    /** Reads the entry of this home, and ends the journal if the entry names a successor. */
    suspend fun checkTakenOver() {
        val entry = (keys.get(HomeKeys.key(home)) as? ReadResult.Found)?.value?.homeEntry()
        entry?.successor?.let(::markEnded)
    }

    /** Has the choice of retainers checked, since it may have changed. */
    fun onRetainersChanged() {
        wake.trySend(Unit)
    }

    /** Writes segments until the home has been taken over or the caller is cancelled. */
    suspend fun run() {
        commit(nextSegment())
        while (!ended.isCompleted) {
            val wait = timeUntilCommit()
            if (wait.isPositive()) {
                withTimeoutOrNull(wait) { wake.receive() }
            } else {
                commit(nextSegment())
            }
        }
    }

    /** Waits until the first segment has been written. Returns false if the home has been taken over before. */
    suspend fun awaitOpened(): Boolean =
        select {
            opened.onJoin { true }
            ended.onJoin { false }
        }

    /** Waits until all records that have been appended so far are committed, or the home has been taken over. */
    suspend fun awaitCommitted() {
        val target = appended.value
        committedNumber.first { it >= target || ended.isCompleted }
    }

    private fun timeUntilCommit(): Duration =
        lock.withLock {
            val oldest = pending.firstOrNull()
            when {
                chooseRetainers(namedRetainers.value) != namedRetainers.value -> Duration.ZERO
                oldest != null && (isCommitUrgent() || continuedBytes > 0) -> Duration.ZERO
                formerRetainers.isNotEmpty() -> FORMER_RETAINERS_DELAY - (lastWrite?.elapsedNow() ?: Duration.ZERO)
                oldest == null -> RETAINER_CHECK_INTERVAL
                else -> minOf(MAX_COMMIT_DELAY - oldest.since.elapsedNow(), RETAINER_CHECK_INTERVAL)
            }
        }

    private fun isCommitUrgent(): Boolean = isUrgent || pendingBytes >= COMMIT_THRESHOLD_BYTES

    private fun nextSegment(): LogSegment {
        val retainers = chooseRetainers(namedRetainers.value)
        return lock.withLock {
            val id = "$home-${sequence + 1}"
            val large = pending.firstOrNull()?.record?.takeIf { it.bytes.size > maxSegmentBytes }
            if (large != null) {
                val end = minOf(large.bytes.size, continuedBytes + maxSegmentBytes)
                val part = LogRecord(large.number, large.bytes.copyOfRange(continuedBytes, end))
                val isContinued = end < large.bytes.size
                val former = formerRetainersOf(retainers, isAll = !isContinued && pending.size == 1)
                LogSegment(home, id, listOf(part), retainers, former, isContinued = isContinued)
            } else {
                val next = nextEntries()
                val former = formerRetainersOf(retainers, isAll = next.size == pending.size)
                LogSegment(home, id, condense(next), retainers, former)
            }
        }
    }

    /**
     * Returns the retainers that were named before and may keep records which are not committed with the next segment.
     *
     * @param isAll whether the segment contains all records that are not committed.
     */
    private fun formerRetainersOf(
        retainers: List<Retainer>,
        isAll: Boolean,
    ): List<Retainer> =
        when {
            retainers != namedRetainers.value -> namedRetainers.value
            isAll -> emptyList()
            else -> formerRetainers
        }

    private fun nextEntries(): List<LogEntry> {
        var bytes = 0L
        return pending
            .takeWhile {
                bytes += it.record.bytes.size
                bytes <= maxSegmentBytes
            }.map { it.entry }
    }

    private suspend fun commit(segment: LogSegment) {
        val next = sequence + 1
        if (!write(LogSegments.key(home, next), segment)) return
        sequence = next
        lastWrite = time.markNow()
        opened.complete(Unit)
        lock.withLock {
            formerRetainers = segment.formerRetainers
            continuedBytes =
                if (segment.isContinued) {
                    continuedBytes +
                        segment.records
                            .last()
                            .bytes.size
                } else {
                    0
                }
            removePending(segment.lastNumber)
        }
        if (segment.retainers != namedRetainers.value) {
            log.info { "retainers of home $home are now ${segment.retainers.map { it.host }}" }
        }
        namedRetainers.value = segment.retainers
        lastCommitted.value = maxOf(lastCommitted.value, segment.lastNumber)
    }

    /** Removes the pending records up to [number], which are committed. */
    private fun removePending(number: Long) {
        while (pending.isNotEmpty() && pending.first().record.number <= number) {
            val done = pending.removeFirst()
            if (!done.isCommittedElsewhere) pendingBytes -= done.record.bytes.size
        }
    }

    /** Writes [segment], with retries until it is stored. Returns false if this home has been taken over. */
    private suspend fun write(
        key: String,
        segment: LogSegment,
    ): Boolean {
        val value = LogSegments.encode(segment)
        while (!ended.isCompleted) {
            when (val write = keys.put(key, value, Revision.ABSENT)) {
                is WriteResult.Applied -> return true.also { backoff.reset() }
                is WriteResult.Conflict -> write.current?.let { return isOwn(it, segment) } ?: delayRetry()
                is WriteResult.NotSent -> delayRetry()
                is WriteResult.OutcomeUnknown -> readBack(key)?.let { return isOwn(it, segment) }
            }
        }
        return false
    }

    /** Reads the item at [key] after a write with an unknown outcome. Returns null if there is none. */
    private suspend fun readBack(key: String): Item? {
        while (!ended.isCompleted) {
            val read = keys.get(key)
            if (read is ReadResult.Found) return read.value
            delayRetry()
        }
        return null
    }

    /**
     * Waits before the next attempt. The delay is short if turns wait for the commit. Otherwise it backs off, and the
     * commit may happen up to a second after the service is available again.
     */
    private suspend fun delayRetry() = delay(if (isUrgent) URGENT_RETRY_DELAY else backoff.next())

    /**
     * Returns whether [item] contains [segment]. If not, it is the seal of a successor, or nothing that can be decoded;
     * the journal ends.
     */
    private fun isOwn(
        item: Item,
        segment: LogSegment,
    ): Boolean {
        val value = item.value ?: return false
        val found = LogSegments.decode(value).validOrNull()
        if (found?.id == segment.id) return true
        markEnded(found?.sealedBy ?: home)
        return false
    }

    private companion object {
        /** The part of a value that the records of a segment may take. */
        const val SEGMENT_SHARE = 0.7

        /** Limit of the records in one message to a retainer, so that it can reply soon even over a slow link. */
        const val MAX_BATCH_BYTES = 48 * 1024

        /** Size of the uncommitted records, before compression, at which a segment is written without further delay. */
        const val COMMIT_THRESHOLD_BYTES = 256L * 1024

        /**
         * Limit of the time that a record waits for its commit while retainers keep it. Each write to the service is
         * paid for.
         */
        val MAX_COMMIT_DELAY: Duration = 2.seconds

        /** How often the choice of retainers is checked while nothing has to be committed. */
        val RETAINER_CHECK_INTERVAL: Duration = 1.seconds

        /**
         * Delay between a segment that names former retainers and the next one, which no longer does. It is short
         * because a former retainer may be lost within seconds.
         */
        val FORMER_RETAINERS_DELAY: Duration = 500.milliseconds

        /** Delay between attempts to write a segment whose commit turns wait for. */
        val URGENT_RETRY_DELAY: Duration = 200.milliseconds
    }
}
