package sycamore.standins

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.platform.Item
import sycamore.platform.KeyValue
import sycamore.platform.Read
import sycamore.platform.Revision
import sycamore.platform.Write
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

    override suspend fun get(key: String): Read<Item?> =
        lock.withLock {
            dropLapsed()
            Read.Found(items[key]?.takeIf { it.value != null }, now())
        }

    override suspend fun list(prefix: String): Read<List<Item>> =
        lock.withLock {
            dropLapsed()
            Read.Found(withPrefix(prefix).filter { it.value != null }, now())
        }

    override suspend fun changes(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): Read<List<Item>> {
        withTimeoutOrNull(wait) { revision.first { changed(prefix, after).isNotEmpty() } }
        return lock.withLock { Read.Found(changed(prefix, after), now()) }
    }

    override suspend fun put(
        key: String,
        value: ByteArray,
        expected: Revision,
        lease: Duration?,
    ): Write =
        change(key, value, expected).also {
            if (it is Write.Taken) lock.withLock { setLease(key, lease) }
        }

    override suspend fun delete(
        key: String,
        expected: Revision,
    ): Write = change(key, null, expected)

    private fun change(
        key: String,
        value: ByteArray?,
        expected: Revision,
    ): Write =
        lock.withLock {
            dropLapsed()
            val current = items[key]?.takeIf { it.value != null }
            if ((current?.version ?: Revision.ABSENT) != expected) return Write.Conflict(current)
            Write.Taken(store(key, value))
        }

    private fun store(
        key: String,
        value: ByteArray?,
    ): Revision {
        val version = Revision(revision.value + 1)
        items[key] = Item(key, value, version)
        leases.remove(key)
        revision.value = version.value
        return version
    }

    private fun setLease(
        key: String,
        lease: Duration?,
    ) {
        if (lease != null) leases[key] = clock.markNow() + lease
    }

    private fun dropLapsed() {
        val lapsed = leases.filterValues { it.hasPassedNow() }.keys
        lapsed.forEach { store(it, null) }
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
