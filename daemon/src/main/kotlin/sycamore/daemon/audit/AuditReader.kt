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

/** Reads the audit trail. */
class AuditReader(
    private val keys: KeyValue,
    private val clock: Clock = Clock.System,
) {
    /** All records from [from] until now, in order. One call for each hour. */
    suspend fun since(from: Instant): ReadResult<List<AuditRecord>> {
        val records = ArrayList<AuditRecord>()
        var revision = Revision.ABSENT
        for (hour in AuditKeys.hours(from, clock.now())) {
            when (val read = keys.list(AuditKeys.hour(hour))) {
                is ReadResult.Found -> {
                    records += read.value.mapNotNull(AuditKeys::decode)
                    if (revision == Revision.ABSENT) revision = read.revision
                }
                is ReadResult.Unreachable -> return read
            }
        }
        return ReadResult.Found(records.filter { it.at >= from }, revision)
    }

    /** The records from [from] on, and further ones as they are written, until cancelled. */
    fun follow(from: Instant): Flow<AuditRecord> =
        flow {
            val shown = HashSet<String>()
            val backoff = Backoff()
            while (true) {
                val read = since(from)
                if (read is ReadResult.Found) {
                    backoff.reset()
                    read.value.filter { shown.add(it.id) }.forEach { emit(it) }
                    followAfter(read.revision) { record -> if (shown.add(record.id)) emit(record) }
                }
                delay(backoff.next())
            }
        }

    /** Passes on the records written after [start], until the service fails. */
    private suspend fun followAfter(
        start: Revision,
        show: suspend (AuditRecord) -> Unit,
    ) {
        var seen = start
        while (true) {
            val read = keys.changes(AuditKeys.PREFIX, seen, WAIT)
            if (read !is ReadResult.Found || read.revision < seen) return
            read.value.mapNotNull { item: Item -> AuditKeys.decode(item) }.forEach { show(it) }
            seen = maxOf(read.revision, read.value.maxOfOrNull { it.version } ?: seen)
        }
    }

    private companion object {
        val WAIT: Duration = 20.seconds
    }
}
