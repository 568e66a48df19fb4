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
 * Writes this process's records of the audit trail to the key-value service.
 *
 * Records that cannot be written wait in memory and are written later, in order. Each has a key of its own that is only
 * ever created, so that writing one again after a lost answer, or by another process, makes no duplicate.
 */
class AuditTrail(
    private val keys: KeyValue,
    private val by: String,
    private val clock: Clock = Clock.System,
    private val backoff: Backoff = Backoff(),
) {
    private val lock = ReentrantLock()
    private val waiting = ArrayDeque<AuditRecord>()
    private val ids = HashSet<String>()
    private val count = MutableStateFlow(0)
    private var lastAt = clock.now()

    /** How many records wait to be written. */
    val pending: Int get() = count.value

    /** The records that wait to be written, oldest first. */
    fun waiting(): List<AuditRecord> = lock.withLock { waiting.toList() }

    /** Records what was done; returns at once. */
    fun record(
        action: AuditAction,
        subject: String,
        generation: Generation,
        changes: List<AuditChange> = emptyList(),
    ): AuditRecord =
        lock.withLock {
            val id = Uuid.random().toHexString()
            val record = AuditRecord(id, nextTime(), by, action, subject, generation, shorten(changes))
            add(record)
            record
        }

    /** Takes over [records] that another process could not write yet. */
    fun keep(records: List<AuditRecord>) = lock.withLock { records.forEach(::add) }

    /** Writes the records as they come, until cancelled. */
    suspend fun run() {
        while (true) {
            count.first { it > 0 }
            writeNext()
        }
    }

    /** Writes all that waits, for at most [within], where [run] is not running; returns whether nothing is left. */
    suspend fun writeAll(within: Duration): Boolean {
        withTimeoutOrNull(within) { while (pending > 0) writeNext() }
        return pending == 0
    }

    /** Waits until [run] has written all, for at most [within]; returns whether nothing is left. */
    suspend fun flush(within: Duration): Boolean {
        withTimeoutOrNull(within) { count.first { it == 0 } }
        return pending == 0
    }

    /** Later records have later times, so that they sort in the order they were made. */
    private fun nextTime() = maxOf(clock.now(), lastAt + STEP).also { lastAt = it }

    private fun shorten(changes: List<AuditChange>): List<AuditChange> {
        if (changes.size <= MAX_CHANGES) return changes
        val left = "${changes.size - MAX_CHANGES} more"
        return changes.take(MAX_CHANGES) + AuditChange("further changes", null, left)
    }

    private fun add(record: AuditRecord) {
        if (!ids.add(record.id)) return
        if (waiting.size >= MAX_WAITING) drop()
        waiting.addLast(record)
        count.value = waiting.size
    }

    private fun drop() {
        val dropped = waiting.removeFirst()
        ids -= dropped.id
        log.error { "audit record dropped, since $MAX_WAITING wait already: $dropped" }
    }

    private suspend fun writeNext() {
        val record = lock.withLock { waiting.firstOrNull() } ?: return
        when (val write = keys.put(AuditKeys.of(record), AuditKeys.encode(record), Revision.ABSENT)) {
            is WriteResult.Applied, is WriteResult.Conflict -> {
                backoff.reset()
                lock.withLock { remove(record) }
            }
            is WriteResult.NotSent, is WriteResult.OutcomeUnknown -> {
                log.debug { "audit record not written yet: $write" }
                delay(backoff.next())
            }
        }
    }

    private fun remove(record: AuditRecord) {
        if (waiting.firstOrNull()?.id == record.id) waiting.removeFirst()
        ids -= record.id
        count.value = waiting.size
    }

    private companion object {
        /** Records that may wait in memory. */
        const val MAX_WAITING = 10_000

        /** Changed values that one record names. */
        const val MAX_CHANGES = 2_000

        val STEP = 1.milliseconds
    }
}
