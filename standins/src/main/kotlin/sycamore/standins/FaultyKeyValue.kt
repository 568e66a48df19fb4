package sycamore.standins

import kotlinx.coroutines.delay
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.RateLimit
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.TimeSource

/** The key-value service [store] with faults that can be switched at any time, in virtual time too. */
class FaultyKeyValue(
    private val store: KeyValue,
    private val time: TimeSource = TimeSource.Monotonic,
) : KeyValue {
    private val state = AtomicReference(State(KeyValueFaults(), null, null))

    private class State(
        val faults: KeyValueFaults,
        val limit: RateLimit?,
        val frozen: Frozen?,
    )

    private class Frozen(
        val items: List<Item>,
        val revision: Revision,
    )

    /** The faults in effect. */
    val faults: KeyValueFaults get() = state.get().faults

    /** Puts [faults] in effect. */
    suspend fun switch(faults: KeyValueFaults) {
        val limit = faults.callsPerSecond.takeIf { it > 0.0 }?.let { RateLimit(it, maxOf(1, it.toInt()), time) }
        val frozen = if (faults.stale) state.get().frozen ?: freeze() else null
        state.set(State(faults, limit, frozen))
    }

    /** Changes the faults in effect. */
    suspend fun switch(change: (KeyValueFaults) -> KeyValueFaults) = switch(change(faults))

    private suspend fun freeze(): Frozen? = (store.list("") as? ReadResult.Found)?.let { Frozen(it.value, it.revision) }

    override suspend fun get(key: String): ReadResult<Item?> =
        read { frozen ->
            if (frozen ==
                null
            ) {
                store.get(key)
            } else {
                ReadResult.Found(frozen.items.find { it.key == key }, frozen.revision)
            }
        }

    override suspend fun list(prefix: String): ReadResult<List<Item>> =
        read { frozen ->
            if (frozen == null) store.list(prefix) else ReadResult.Found(frozen.under(prefix), frozen.revision)
        }

    override suspend fun changes(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): ReadResult<List<Item>> =
        read { frozen ->
            if (frozen == null) watch(prefix, after, wait) else frozenChanges(frozen, prefix, after, wait)
        }

    /** A watch breaks off when the service goes down. */
    private suspend fun watch(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): ReadResult<List<Item>> {
        val found = store.changes(prefix, after, wait)
        return if (faults.down) DOWN else found
    }

    private suspend fun frozenChanges(
        frozen: Frozen,
        prefix: String,
        after: Revision,
        wait: Duration,
    ): ReadResult<List<Item>> {
        val changed = frozen.under(prefix).filter { it.version > after }
        if (changed.isEmpty()) delay(wait)
        return ReadResult.Found(changed, frozen.revision)
    }

    override suspend fun put(
        key: String,
        value: ByteArray,
        expected: Revision,
        lease: Duration?,
    ): WriteResult = write { store.put(key, value, expected, lease) }

    override suspend fun delete(
        key: String,
        expected: Revision,
    ): WriteResult = write { store.delete(key, expected) }

    override suspend fun putEmpty(
        keys: List<String>,
        lease: Duration,
    ): WriteResult = write { store.putEmpty(keys, lease) }

    override suspend fun remove(keys: List<String>): WriteResult = write { store.remove(keys) }

    private suspend fun <T> read(call: suspend (Frozen?) -> ReadResult<T>): ReadResult<T> {
        val now = state.get()
        if (now.faults.delay > Duration.ZERO) delay(now.faults.delay)
        if (now.faults.down) return DOWN
        if (isOverLimit(now)) return ReadResult.Unreachable(OVER_LIMIT)
        return call(now.frozen)
    }

    private suspend fun write(call: suspend () -> WriteResult): WriteResult {
        val now = state.get()
        if (now.faults.delay > Duration.ZERO) delay(now.faults.delay)
        if (now.faults.down) return WriteResult.OutcomeUnknown(DOWN.reason)
        if (isOverLimit(now)) return WriteResult.NotSent(OVER_LIMIT)
        val write = call()
        return if (losesAnswer()) WriteResult.OutcomeUnknown("the answer was lost") else write
    }

    private suspend fun isOverLimit(now: State): Boolean = now.limit?.acquire(Duration.ZERO) == false

    private fun losesAnswer(): Boolean {
        val before =
            state.getAndUpdate {
                val left = maxOf(0, it.faults.lostAnswers - 1)
                State(it.faults.copy(lostAnswers = left), it.limit, it.frozen)
            }
        return before.faults.lostAnswers > 0
    }

    private fun Frozen.under(prefix: String) = items.filter { it.key.startsWith(prefix) }

    private companion object {
        val DOWN = ReadResult.Unreachable("the service is down")
        const val OVER_LIMIT = "the service's limit is reached"
    }
}
