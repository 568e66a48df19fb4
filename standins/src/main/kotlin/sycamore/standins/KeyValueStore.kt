package sycamore.standins

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * The key-value service in memory. It keeps the last change of each key, deletions included.
 *
 * @param clock tells when leases lapse.
 */
class KeyValueStore(
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) : KeyValue {
    private val lock = ReentrantLock()
    private val items = sortedMapOf<String, Item>()
    private val leases = HashMap<String, ComparableTimeMark>()
    private val revision = MutableStateFlow(0L)

    override suspend fun get(key: String): ReadResult<Item?> =
        lock.withLock {
            dropLapsed()
            ReadResult.Found(items[key]?.takeIf { it.value != null }, now())
        }

    override suspend fun list(prefix: String): ReadResult<List<Item>> =
        lock.withLock {
            dropLapsed()
            ReadResult.Found(withPrefix(prefix).filter { it.value != null }, now())
        }

    override suspend fun changes(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): ReadResult<List<Item>> {
        withTimeoutOrNull(wait) { awaitChange(prefix, after) }
        return lock.withLock { ReadResult.Found(changed(prefix, after), now()) }
    }

    /** Waits for a change under [prefix]; a lease that lapses is one. */
    private suspend fun awaitChange(
        prefix: String,
        after: Revision,
    ) {
        while (changed(prefix, after).isEmpty()) {
            val seen = revision.value
            val lapse = nextLapse() ?: Duration.INFINITE
            withTimeoutOrNull(lapse) { revision.first { it != seen } }
        }
    }

    override suspend fun put(
        key: String,
        value: ByteArray,
        expected: Revision,
        lease: Duration?,
    ): WriteResult = change(key, value, expected, lease)

    override suspend fun delete(
        key: String,
        expected: Revision,
    ): WriteResult = change(key, null, expected, null)

    override suspend fun putEmpty(
        keys: List<String>,
        lease: Duration,
    ): WriteResult =
        lock.withLock {
            dropLapsed()
            keys.forEach { store(it, ByteArray(0), lease) }
            WriteResult.Applied(now())
        }

    override suspend fun remove(keys: List<String>): WriteResult =
        lock.withLock {
            dropLapsed()
            keys.filter { items[it]?.value != null }.forEach { store(it, null, lease = null) }
            WriteResult.Applied(now())
        }

    /** Comes back as if restored from a backup: the same keys, with revisions counted anew. */
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
    ): WriteResult =
        lock.withLock {
            dropLapsed()
            val current = items[key]?.takeIf { it.value != null }
            if ((current?.version ?: Revision.ABSENT) != expected) return WriteResult.Conflict(current)
            WriteResult.Applied(store(key, value, lease))
        }

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

    private fun nextLapse(): Duration? = lock.withLock { leases.values.minOrNull()?.let { -it.elapsedNow() } }

    private fun dropLapsed() {
        val lapsed = leases.filterValues { it.elapsedNow() >= Duration.ZERO }.keys
        lapsed.forEach { store(it, null, lease = null) }
    }

    private fun changed(
        prefix: String,
        after: Revision,
    ): List<Item> =
        lock.withLock {
            dropLapsed()
            withPrefix(prefix).filter { it.version > after }.sortedBy { it.version }
        }

    private fun withPrefix(prefix: String): List<Item> =
        items
            .tailMap(prefix)
            .values
            .asSequence()
            .takeWhile { it.key.startsWith(prefix) }
            .toList()

    private fun now() = Revision(revision.value)
}
