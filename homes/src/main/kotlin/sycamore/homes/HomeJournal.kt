package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.model.HomeId
import sycamore.services.Backoff
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import sycamore.turns.HomeKeys
import sycamore.turns.LogRecord
import sycamore.turns.LogSegment
import sycamore.turns.LogSegments
import sycamore.turns.Retainer
import sycamore.turns.TurnRecord
import sycamore.turns.TurnRecords
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** [records] that a retainer shall keep, so that it keeps all up to the number [upTo]. */
internal class KeepBatch(
    val records: List<LogRecord>,
    val upTo: Long,
)

/** A home was taken over by [successor]. */
internal class HomeEndedException(
    val successor: HomeId,
) : Exception("this home was taken over by $successor")

/**
 * The log of a home. Records are numbered as they are appended, and written in segments to the key-value service later,
 * one segment at a time. Until then retainers keep them.
 *
 * @param wanted the retainers that shall keep records from now on.
 */
internal class HomeJournal(
    val home: HomeId,
    private val keys: KeyValue,
    private val time: TimeSource.WithComparableMarks,
    private val wanted: (named: List<Retainer>) -> List<Retainer>,
) {
    /** @property isElsewhere whether the record lasts already, in the log of a home that was taken over. */
    private class Pending(
        val record: LogRecord,
        val since: ComparableTimeMark,
        val isElsewhere: Boolean,
    )

    private val lock = ReentrantLock()
    private val pending = ArrayDeque<Pending>()
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val appended = MutableStateFlow(0L)
    private val lastCommitted = MutableStateFlow(0L)
    private val flushes = AtomicInteger()
    private var pendingBytes = 0L
    private var sequence = 0L
    private var former: List<Retainer> = emptyList()
    private var lastWrite: ComparableTimeMark? = null
    private val backoff = Backoff.shortPauses()

    /** The retainers that a successor will surely ask, as the committed part of the log says. */
    val named = MutableStateFlow<List<Retainer>>(emptyList())

    /** Completes once the log has its first segment, so that a successor finds it. */
    val opened = CompletableDeferred<Unit>()

    /** The number of the last record. */
    val last: StateFlow<Long> = appended.asStateFlow()

    /** The number up to which all records are committed. */
    val committed: StateFlow<Long> = lastCommitted.asStateFlow()

    /** Whether records wait to be committed. */
    val hasUncommitted: Boolean get() = last.value > committed.value

    /** Completes with the successor when this home was taken over. */
    val ended = CompletableDeferred<HomeId>()

    /** Whether records have to be committed at once, since they cannot be retained. */
    @Volatile
    var isUrgent = false
        set(value) {
            field = value
            if (value) wake.trySend(Unit)
        }

    /** Appends [record] and returns its number. */
    fun append(record: TurnRecord): Long = append(TurnRecords.encode(record), isElsewhere = false)

    /** Appends a record of a home that was taken over, whose log stays until this one has the record too. */
    fun adopt(bytes: ByteArray) {
        append(bytes, isElsewhere = true)
    }

    private fun append(
        bytes: ByteArray,
        isElsewhere: Boolean,
    ): Long {
        requireAlive()
        return lock.withLock {
            val number = appended.value + 1
            pending.addLast(Pending(LogRecord(number, bytes), time.markNow(), isElsewhere))
            if (!isElsewhere) pendingBytes += bytes.size
            appended.value = number
            if (pendingBytes >= SEGMENT_BYTES || pending.size == 1) wake.trySend(Unit)
            number
        }
    }

    /** The next records above [number] that retainers have to keep. */
    fun batchAbove(number: Long): KeepBatch =
        lock.withLock {
            var bytes = 0
            var upTo = maxOf(number, lastCommitted.value)
            val records = ArrayList<LogRecord>()
            for (next in pending) {
                if (next.record.number <= upTo) continue
                if (bytes >= BATCH_BYTES) break
                upTo = next.record.number
                if (next.isElsewhere) continue
                records += next.record
                bytes += next.record.bytes.size
            }
            KeepBatch(records, upTo)
        }

    /** Fails with [HomeEndedException] when this home was taken over. */
    fun requireAlive() {
        if (ended.isCompleted) throw HomeEndedException(ended.getCompleted())
    }

    /** This home was taken over by [successor]. */
    fun end(successor: HomeId) {
        if (ended.complete(successor)) log.warn { "home $home was taken over by $successor" }
    }

    /** Reads whether this home was taken over, after a retainer refused its records. */
    suspend fun verify() {
        val entry = (keys.get(HomeKeys.key(home)) as? ReadResult.Found)?.value?.value?.let(HomeKeys::decode)
        entry?.successor?.let(::end)
    }

    /** The wanted retainers may have changed. */
    fun check() {
        wake.trySend(Unit)
    }

    /** Writes segments until the home has ended or the caller is cancelled. */
    suspend fun run() {
        commit(nextSegment())
        while (!ended.isCompleted) {
            val wait = untilDue()
            if (wait.isPositive()) {
                withTimeoutOrNull(wait) { wake.receive() }
            } else {
                commit(nextSegment())
            }
        }
    }

    /** Commits what was appended so far, without waiting for more. */
    suspend fun flush() {
        val target = appended.value
        flushes.incrementAndGet()
        wake.trySend(Unit)
        try {
            committed.first { it >= target || ended.isCompleted }
        } finally {
            flushes.decrementAndGet()
        }
    }

    private fun untilDue(): Duration =
        lock.withLock {
            val oldest = pending.firstOrNull()
            when {
                wanted(named.value) != named.value -> Duration.ZERO
                oldest != null && isDueAtOnce() -> Duration.ZERO
                former.isNotEmpty() -> FORMER_PERIOD - (lastWrite?.elapsedNow() ?: Duration.ZERO)
                oldest == null -> CHECK_PERIOD
                else -> minOf(COMMIT_PERIOD - oldest.since.elapsedNow(), CHECK_PERIOD)
            }
        }

    private fun isDueAtOnce(): Boolean = isUrgent || flushes.get() > 0 || pendingBytes >= SEGMENT_BYTES

    private fun nextSegment(): LogSegment {
        val retainers = wanted(named.value)
        return lock.withLock {
            val records = takeBatch()
            LogSegment(home, "$home-${sequence + 1}", records, retainers, formerlyNamed(retainers, records))
        }
    }

    /** Retainers that were named before and may keep records that are not committed with [records]. */
    private fun formerlyNamed(
        retainers: List<Retainer>,
        records: List<LogRecord>,
    ): List<Retainer> =
        when {
            retainers != named.value -> named.value
            records.size < pending.size -> former
            else -> emptyList()
        }

    private fun takeBatch(): List<LogRecord> {
        var bytes = 0L
        return pending
            .takeWhile {
                val isFirst = bytes == 0L
                bytes += it.record.bytes.size
                isFirst || bytes <= MAX_SEGMENT_BYTES
            }.map { it.record }
    }

    private suspend fun commit(segment: LogSegment) {
        val next = sequence + 1
        if (!write(LogSegments.key(home, next), segment)) return
        sequence = next
        lastWrite = time.markNow()
        opened.complete(Unit)
        lock.withLock {
            former = segment.formerRetainers
            repeat(segment.records.size) {
                val done = pending.removeFirst()
                if (!done.isElsewhere) pendingBytes -= done.record.bytes.size
            }
        }
        if (segment.retainers != named.value) {
            log.info { "home $home names ${segment.retainers.map { it.host }} as its retainers" }
        }
        named.value = segment.retainers
        segment.records.lastOrNull()?.let { lastCommitted.value = it.number }
    }

    /** Writes [segment] until it is there; false when this home has ended. */
    private suspend fun write(
        key: String,
        segment: LogSegment,
    ): Boolean {
        val value = LogSegments.encode(segment)
        while (!ended.isCompleted) {
            when (val write = keys.put(key, value, Revision.ABSENT)) {
                is WriteResult.Applied -> return true.also { backoff.reset() }
                is WriteResult.Conflict -> write.current?.let { return isOwn(it, segment) } ?: awaitRetry()
                is WriteResult.NotSent -> awaitRetry()
                is WriteResult.OutcomeUnknown -> readBack(key)?.let { return isOwn(it, segment) }
            }
        }
        return false
    }

    /** What stands at [key] after a write whose answer was lost; null when nothing does. */
    private suspend fun readBack(key: String): Item? {
        while (!ended.isCompleted) {
            val read = keys.get(key)
            if (read is ReadResult.Found) return read.value
            awaitRetry()
        }
        return null
    }

    /** Turns wait for a commit that is urgent; any other one may follow the service's return by a second. */
    private suspend fun awaitRetry() = delay(if (isUrgent || flushes.get() > 0) RETRY else backoff.next())

    /** Whether [item] holds [segment]; else it is the seal of a successor. */
    private fun isOwn(
        item: Item,
        segment: LogSegment,
    ): Boolean {
        val found = item.value?.let(LogSegments::decode) ?: return false
        if (found.id == segment.id) return true
        end(found.sealedBy ?: found.home)
        return false
    }

    private companion object {
        /** Most that is sent to a retainer in one message, so that each is answered soon also over a slow link. */
        const val BATCH_BYTES = 48 * 1024

        /** A segment is written when this much waits, before compression. */
        const val SEGMENT_BYTES = 256L * 1024

        /** Most of one segment. Texts that do not compress still fit into a value of the service. */
        const val MAX_SEGMENT_BYTES = 700_000L

        /** Longest time that a record waits while retainers keep it: each write is a call to the service that is paid for. */
        val COMMIT_PERIOD: Duration = 2.seconds
        val CHECK_PERIOD: Duration = 1.seconds

        /** Until a segment without former retainers follows one that names them: they may be lost within seconds. */
        val FORMER_PERIOD: Duration = 500.milliseconds
        val RETRY: Duration = 200.milliseconds
    }
}
