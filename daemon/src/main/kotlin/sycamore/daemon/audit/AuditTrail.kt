package sycamore.daemon.audit

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.model.Generation
import sycamore.services.Backoff
import sycamore.services.KeyValue
import sycamore.services.Revision
import sycamore.services.WriteResult
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.uuid.Uuid

private val log = KotlinLogging.logger {}

/**
 * Writes the audit records of this process to the key-value service.
 *
 * Records that cannot be written yet are queued in memory and written later, in order. Each record has its own key,
 * which is only created and never updated, so that writing it again after a lost response, or from another process,
 * makes no duplicate.
 */
class AuditTrail(
    private val keys: KeyValue,
    private val author: String,
    private val clock: Clock = Clock.System,
    private val backoff: Backoff = Backoff(),
) {
    private val lock = ReentrantLock()
    private val queue = ArrayDeque<AuditRecord>()
    private val ids = HashSet<String>()
    private val count = MutableStateFlow(0)
    private var lastAt = clock.now()

    /** The number of records that are not written yet. */
    val pending: Int get() = count.value

    /** Returns the records that are not written yet, oldest first. */
    fun pendingRecords(): List<AuditRecord> = lock.withLock { queue.toList() }

    /** Creates a record and queues it for writing, without blocking. */
    fun record(
        action: AuditAction,
        subject: String,
        generation: Generation,
        changes: List<AuditChange> = emptyList(),
    ): AuditRecord =
        lock.withLock {
            val id = Uuid.random().toHexString()
            val record = AuditRecord(id, nextTime(), author, action, subject, generation, shorten(changes))
            add(record)
            record
        }

    /** Queues [records] of another process that could not write them yet. */
    fun enqueue(records: List<AuditRecord>) = lock.withLock { records.forEach(::add) }

    /** Writes queued records until cancelled. */
    suspend fun run() {
        while (true) {
            count.first { it > 0 }
            writeNext()
        }
    }

    /** Writes all queued records, for at most [within], if [run] is not active. Returns whether all are written. */
    suspend fun writeAll(within: Duration): Boolean {
        withTimeoutOrNull(within) { while (pending > 0) writeNext() }
        return pending == 0
    }

    /** Waits at most [within] until [run] has written all queued records; returns whether all are written. */
    suspend fun flush(within: Duration): Boolean {
        withTimeoutOrNull(within) { count.first { it == 0 } }
        return pending == 0
    }

    /** Returns a time after that of the last record, so that records sort in the order of their creation. */
    private fun nextTime() = maxOf(clock.now(), lastAt + MIN_TIME_STEP).also { lastAt = it }

    private fun shorten(changes: List<AuditChange>): List<AuditChange> {
        if (changes.size <= MAX_CHANGES_PER_RECORD) return changes
        val omitted = "${changes.size - MAX_CHANGES_PER_RECORD} more"
        return changes.take(MAX_CHANGES_PER_RECORD) + AuditChange("further changes", null, omitted)
    }

    private fun add(record: AuditRecord) {
        if (!ids.add(record.id)) return
        if (queue.size >= MAX_QUEUED_RECORDS) dropOldest()
        queue.addLast(record)
        count.value = queue.size
    }

    private fun dropOldest() {
        val dropped = queue.removeFirst()
        ids -= dropped.id
        log.error { "dropped the oldest audit record, since $MAX_QUEUED_RECORDS records are queued: $dropped" }
    }

    private suspend fun writeNext() {
        val record = lock.withLock { queue.firstOrNull() } ?: return
        when (val write = keys.put(AuditKeys.keyOf(record), AuditKeys.encode(record), Revision.ABSENT)) {
            is WriteResult.Applied, is WriteResult.Conflict -> {
                backoff.reset()
                lock.withLock { remove(record) }
            }
            is WriteResult.NotSent, is WriteResult.OutcomeUnknown -> {
                log.debug { "audit record not written, will retry: $write" }
                delay(backoff.next())
            }
        }
    }

    private fun remove(record: AuditRecord) {
        if (queue.firstOrNull()?.id == record.id) queue.removeFirst()
        ids -= record.id
        count.value = queue.size
    }

    private companion object {
        /** Upper bound of the queued records. */
        const val MAX_QUEUED_RECORDS = 10_000

        /** Upper bound of the changes listed in one record. */
        const val MAX_CHANGES_PER_RECORD = 2_000

        /** Minimum distance between the times of two records. */
        val MIN_TIME_STEP = 1.milliseconds
    }
}
