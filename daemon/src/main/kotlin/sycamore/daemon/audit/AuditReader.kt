package sycamore.daemon.audit

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import sycamore.services.Backoff
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Reads the records of the audit trail from the key-value service. */
class AuditReader(
    private val keys: KeyValue,
    private val clock: Clock = Clock.System,
) {
    /** Reads all records from [from] until now, in order, with one call for each hour. */
    suspend fun since(from: Instant): ReadResult<List<AuditRecord>> {
        val records = ArrayList<AuditRecord>()
        var revision = Revision.ABSENT
        for (hour in AuditKeys.hours(from, clock.now())) {
            when (val read = keys.list(AuditKeys.hourPrefix(hour))) {
                is ReadResult.Found -> {
                    records += read.value.mapNotNull(AuditKeys::decode)
                    if (revision == Revision.ABSENT) revision = read.revision
                }
                is ReadResult.Unreachable -> return read
            }
        }
        return ReadResult.Found(records.filter { it.at >= from }, revision)
    }

    /** Returns a flow of the records from [from] on, which continues with new records until cancelled. */
    fun follow(from: Instant): Flow<AuditRecord> =
        flow {
            val emittedIds = HashSet<String>()
            val backoff = Backoff()
            while (true) {
                val read = since(from)
                if (read is ReadResult.Found) {
                    backoff.reset()
                    read.value.filter { emittedIds.add(it.id) }.forEach { emit(it) }
                    followAfter(read.revision) { record -> if (emittedIds.add(record.id)) emit(record) }
                }
                delay(backoff.next())
            }
        }

    /** Calls [emit] with each record written after [start]. Returns once the service does not respond. */
    private suspend fun followAfter(
        start: Revision,
        emit: suspend (AuditRecord) -> Unit,
    ) {
        var seen = start
        while (true) {
            val read = keys.changes(AuditKeys.PREFIX, seen, MAX_WATCH_WAIT)
            if (read !is ReadResult.Found || read.revision < seen) return
            read.value.mapNotNull { item: Item -> AuditKeys.decode(item) }.forEach { emit(it) }
            seen = maxOf(read.revision, read.value.maxOfOrNull { it.version } ?: seen)
        }
    }

    private companion object {
        val MAX_WATCH_WAIT: Duration = 20.seconds
    }
}
