package sycamore.daemon.audit

import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Instant

/**
 * Deletes the records of the audit trail that are older than the retention time [keep].
 *
 * The hour up to which records have been deleted is stored under a key, so that a process continues where another one
 * stopped. Several processes may run this concurrently.
 */
class AuditRetention(
    private val keys: KeyValue,
    private val clock: Clock = Clock.System,
    private val keep: Duration = 30.days,
) {
    /** Deletes all expired records, hour by hour. Stops early if the service does not respond. */
    suspend fun prune() {
        val cursor = (keys.get(CURSOR_KEY) as? ReadResult.Found ?: return).value
        val end = AuditKeys.startOfHour(clock.now() - keep)
        val start = cursor?.let(::instantOf) ?: (end - FIRST_RUN_LOOKBACK)
        var version = cursor?.version ?: Revision.ABSENT
        for (hour in AuditKeys.hours(start, end - 1.hours)) {
            if (!pruneHour(hour)) return
            val next = (hour + 1.hours).toString().encodeToByteArray()
            version = (keys.put(CURSOR_KEY, next, version) as? WriteResult.Applied ?: return).version
        }
    }

    private fun instantOf(item: Item): Instant? = item.value?.let { Instant.parseOrNull(it.decodeToString()) }

    private suspend fun pruneHour(hour: Instant): Boolean {
        val items = (keys.list(AuditKeys.hourPrefix(hour)) as? ReadResult.Found ?: return false).value
        return items.all { keys.delete(it.key, it.version) !is WriteResult.NotSent }
    }

    private companion object {
        const val CURSOR_KEY = "audit-pruned"

        /** How far before the retention period a run begins if no progress is stored. */
        val FIRST_RUN_LOOKBACK = 2.days
    }
}
