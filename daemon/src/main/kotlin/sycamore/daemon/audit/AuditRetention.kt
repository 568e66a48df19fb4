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
 * Deletes the records of the audit trail that are older than [keep].
 *
 * A key remembers up to which hour that was done, so that one process carries on where another stopped. Two at once do no
 * harm.
 */
class AuditRetention(
    private val keys: KeyValue,
    private val clock: Clock = Clock.System,
    private val keep: Duration = 30.days,
) {
    /** Deletes what is due, hour by hour, until the service stops answering. */
    suspend fun prune() {
        val cursor = (keys.get(CURSOR) as? ReadResult.Found ?: return).value
        val due = AuditKeys.startOfHour(clock.now() - keep)
        val start = cursor?.let(::instantOf) ?: (due - FIRST_REACH)
        var version = cursor?.version ?: Revision.ABSENT
        for (hour in AuditKeys.hours(start, due - 1.hours)) {
            if (!pruneHour(hour)) return
            val next = (hour + 1.hours).toString().encodeToByteArray()
            version = (keys.put(CURSOR, next, version) as? WriteResult.Applied ?: return).version
        }
    }

    private fun instantOf(item: Item): Instant? = item.value?.let { Instant.parseOrNull(it.decodeToString()) }

    private suspend fun pruneHour(hour: Instant): Boolean {
        val items = (keys.list(AuditKeys.hour(hour)) as? ReadResult.Found ?: return false).value
        return items.all { keys.delete(it.key, it.version) !is WriteResult.NotSent }
    }

    private companion object {
        const val CURSOR = "audit-pruned"

        /** How far before the retention the first run looks. */
        val FIRST_REACH = 2.days
    }
}
