package sycamore.standins

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.KeyVersion
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * An in-memory key-value service. It keeps the last change of each key, including deletions.
 *
 * @param clock the clock by which leases expire. It may be virtual.
 */
class KeyValueStore(
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val maxValueBytes: Int = KeyValue.MAX_VALUE_BYTES,
) : KeyValue {
    private val lock = ReentrantLock()
    private val items = sortedMapOf<String, Item>()
    private val leases = HashMap<String, ComparableTimeMark>()
    private val revision = MutableStateFlow(0L)

    override suspend fun get(key: String): ReadResult<Item?> =
        lock.withLock {
            deleteExpired()
            ReadResult.Found(items[key]?.takeIf { it.value != null }, currentRevision())
        }

    override suspend fun list(prefix: String): ReadResult<List<Item>> =
        lock.withLock {
            deleteExpired()
            ReadResult.Found(withPrefix(prefix).filter { it.value != null }, currentRevision())
        }

    override suspend fun changes(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): ReadResult<List<Item>> {
        withTimeoutOrNull(wait) { awaitChange(prefix, after) }
        return lock.withLock { ReadResult.Found(changesAfter(prefix, after), currentRevision()) }
    }

    /** Waits until a key that starts with [prefix] changes after [after]. An expired lease counts as a change. */
    private suspend fun awaitChange(
        prefix: String,
        after: Revision,
    ) {
        while (changesAfter(prefix, after).isEmpty()) {
            val lastSeen = revision.value
            val expiry = timeToNextExpiry() ?: Duration.INFINITE
            withTimeoutOrNull(expiry) { revision.first { it != lastSeen } }
        }
    }

    override suspend fun put(
        key: String,
        value: ByteArray,
        expected: Revision,
        lease: Duration?,
        condition: KeyVersion?,
    ): WriteResult =
        if (value.size > maxValueBytes) {
            WriteResult.NotSent("expected at most $maxValueBytes bytes for $key, found ${value.size}")
        } else {
            change(key, value, expected, lease, condition)
        }

    override suspend fun delete(
        key: String,
        expected: Revision,
    ): WriteResult = change(key, null, expected, null)

    override suspend fun putEmpty(
        keys: List<String>,
        lease: Duration,
    ): WriteResult =
        lock.withLock {
            deleteExpired()
            keys.forEach { store(it, ByteArray(0), lease) }
            WriteResult.Applied(currentRevision())
        }

    override suspend fun remove(keys: List<String>): WriteResult =
        lock.withLock {
            deleteExpired()
            keys.filter { items[it]?.value != null }.forEach { store(it, null, lease = null) }
            WriteResult.Applied(currentRevision())
        }

    /** Simulates a restore from a backup: keys keep their values but not their leases. Revisions restart at 1. */
    fun restore() {
        lock.withLock {
            val kept = items.values.filter { it.value != null }
            items.clear()
            revision.value = 0
            kept.forEach { store(it.key, it.value, lease = null) }
        }
    }

    private fun change(
        key: String,
        value: ByteArray?,
        expected: Revision,
        lease: Duration?,
        condition: KeyVersion? = null,
    ): WriteResult =
        lock.withLock {
            deleteExpired()
            val isMet = condition == null || versionOf(condition.key) == condition.version
            if (!isMet || versionOf(key) != expected) return WriteResult.Conflict(existing(key))
            WriteResult.Applied(store(key, value, lease))
        }

    private fun existing(key: String): Item? = items[key]?.takeIf { it.value != null }

    private fun versionOf(key: String): Revision = existing(key)?.version ?: Revision.ABSENT

    private fun store(
        key: String,
        value: ByteArray?,
        lease: Duration?,
    ): Revision {
        val version = Revision(revision.value + 1)
        items[key] = Item(key, value, version)
        if (lease == null) leases.remove(key) else leases[key] = clock.markNow() + lease
        revision.value = version.value
        return version
    }

    private fun timeToNextExpiry(): Duration? = lock.withLock { leases.values.minOrNull()?.let { -it.elapsedNow() } }

    private fun deleteExpired() {
        val expired = leases.filterValues { it.elapsedNow() >= Duration.ZERO }.keys
        expired.forEach { store(it, null, lease = null) }
    }

    private fun changesAfter(
        prefix: String,
        after: Revision,
    ): List<Item> =
        lock.withLock {
            deleteExpired()
            withPrefix(prefix).filter { it.version > after }.sortedBy { it.version }
        }

    private fun withPrefix(prefix: String): List<Item> =
        items
            .tailMap(prefix)
            .values
            .asSequence()
            .takeWhile { it.key.startsWith(prefix) }
            .toList()

    private fun currentRevision() = Revision(revision.value)
}
