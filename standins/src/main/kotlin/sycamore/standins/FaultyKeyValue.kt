package sycamore.standins

import kotlinx.coroutines.delay
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.KeyVersion
import sycamore.services.RateLimit
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * A key-value service that passes calls on to [store] and injects faults, which can be changed at any time.
 *
 * @param time the clock of the rate limit. It may be virtual.
 */
class FaultyKeyValue(
    private val store: KeyValue,
    private val time: TimeSource = TimeSource.Monotonic,
) : KeyValue {
    private val state = AtomicReference(State(KeyValueFaults(), null, null))

    private class State(
        val faults: KeyValueFaults,
        val limit: RateLimit?,
        val view: StaleView?,
    )

    private class StaleView(
        val items: List<Item>,
        val revision: Revision,
    )

    /** The faults currently injected. */
    val faults: KeyValueFaults get() = state.get().faults

    /** Replaces the injected faults with [faults]. */
    suspend fun setFaults(faults: KeyValueFaults) {
        val limit = faults.callsPerSecond.takeIf { it > 0.0 }?.let { RateLimit(it, maxOf(1, it.toInt()), time) }
        val view = if (faults.stale) state.get().view ?: captureView() else null
        state.set(State(faults, limit, view))
    }

    /** Replaces the injected faults with the result of [change] for the current ones. */
    suspend fun setFaults(change: (KeyValueFaults) -> KeyValueFaults) = setFaults(change(faults))

    private suspend fun captureView(): StaleView? =
        (store.list("") as? ReadResult.Found)?.let { StaleView(it.value, it.revision) }

    override suspend fun get(key: String): ReadResult<Item?> =
        read { view ->
            if (view == null) store.get(key) else ReadResult.Found(view.items.find { it.key == key }, view.revision)
        }

    override suspend fun list(prefix: String): ReadResult<List<Item>> =
        read { view ->
            if (view == null) store.list(prefix) else ReadResult.Found(view.withPrefix(prefix), view.revision)
        }

    override suspend fun changes(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): ReadResult<List<Item>> =
        read { view ->
            if (view == null) watch(prefix, after, wait) else changesInView(view, prefix, after, wait)
        }

    /** Waits for changes in the store. The call fails if the service has gone down in the meantime. */
    private suspend fun watch(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): ReadResult<List<Item>> {
        val result = store.changes(prefix, after, wait)
        return if (faults.down) DOWN else result
    }

    private suspend fun changesInView(
        view: StaleView,
        prefix: String,
        after: Revision,
        wait: Duration,
    ): ReadResult<List<Item>> {
        val changed = view.withPrefix(prefix).filter { it.version > after }
        if (changed.isEmpty()) delay(wait)
        return ReadResult.Found(changed, view.revision)
    }

    override suspend fun put(
        key: String,
        value: ByteArray,
        expected: Revision,
        lease: Duration?,
        condition: KeyVersion?,
    ): WriteResult = write { store.put(key, value, expected, lease, condition) }

    override suspend fun delete(
        key: String,
        expected: Revision,
    ): WriteResult = write { store.delete(key, expected) }

    override suspend fun putEmpty(
        keys: List<String>,
        lease: Duration,
    ): WriteResult = write { store.putEmpty(keys, lease) }

    override suspend fun remove(keys: List<String>): WriteResult = write { store.remove(keys) }

    private suspend fun <T> read(call: suspend (StaleView?) -> ReadResult<T>): ReadResult<T> {
        val current = state.get()
        if (current.faults.delay > Duration.ZERO) delay(current.faults.delay)
        if (current.faults.down) return DOWN
        if (isOverLimit(current)) return ReadResult.Unreachable(OVER_LIMIT)
        return call(current.view)
    }

    private suspend fun write(call: suspend () -> WriteResult): WriteResult {
        val current = state.get()
        if (current.faults.delay > Duration.ZERO) delay(current.faults.delay)
        if (current.faults.down) return WriteResult.OutcomeUnknown(DOWN.reason)
        if (isOverLimit(current)) return WriteResult.NotSent(OVER_LIMIT)
        val write = call()
        return if (consumeLostAnswer()) WriteResult.OutcomeUnknown("the answer was lost") else write
    }

    private suspend fun isOverLimit(current: State): Boolean = current.limit?.acquire(Duration.ZERO) == false

    /** Whether to lose the answer to the current write. Decrements the number of answers still to be lost. */
    private fun consumeLostAnswer(): Boolean {
        val previous =
            state.getAndUpdate {
                val remaining = maxOf(0, it.faults.lostAnswers - 1)
                State(it.faults.copy(lostAnswers = remaining), it.limit, it.view)
            }
        return previous.faults.lostAnswers > 0
    }

    private fun StaleView.withPrefix(prefix: String) = items.filter { it.key.startsWith(prefix) }

    private companion object {
        val DOWN = ReadResult.Unreachable("the service is down")
        const val OVER_LIMIT = "the service's limit is reached"
    }
}
