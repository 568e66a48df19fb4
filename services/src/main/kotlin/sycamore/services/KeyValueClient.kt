package sycamore.services

import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Bounds and counts the calls that this process makes to a [KeyValue]: a timeout for each, and a limit on calls a second.
 *
 * It repeats nothing by itself. Reads are repeated by [retryRead] and [watch], writes by [resolve].
 */
class KeyValueClient private constructor(
    private val keys: KeyValue,
    private val limit: RateLimit,
    private val patience: Duration,
    private val timeout: Duration,
) : KeyValue {
    /** The calls made so far. */
    val counts = CallCounts()

    override suspend fun get(key: String): Read<Item?> = read(CallKind.GET, timeout) { keys.get(key) }

    override suspend fun list(prefix: String): Read<List<Item>> = read(CallKind.LIST, timeout) { keys.list(prefix) }

    override suspend fun changes(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): Read<List<Item>> = read(CallKind.WATCH, timeout + wait) { keys.changes(prefix, after, wait) }

    override suspend fun put(
        key: String,
        value: ByteArray,
        expected: Revision,
        lease: Duration?,
    ): Write = write(CallKind.PUT) { keys.put(key, value, expected, lease) }

    override suspend fun delete(
        key: String,
        expected: Revision,
    ): Write = write(CallKind.DELETE) { keys.delete(key, expected) }

    override suspend fun mark(
        keys: List<String>,
        lease: Duration,
    ): Write = write(CallKind.PUT) { this.keys.mark(keys, lease) }

    override suspend fun remove(keys: List<String>): Write = write(CallKind.DELETE) { this.keys.remove(keys) }

    private suspend fun <T> read(
        kind: CallKind,
        within: Duration,
        call: suspend () -> Read<T>,
    ): Read<T> {
        if (!limit.take(patience)) {
            counts.count(kind, CallOutcome.NOT_SENT)
            return Read.Unreachable(OWN_LIMIT)
        }
        val read = withTimeoutOrNull(within) { call() } ?: Read.Unreachable("no answer within $within")
        counts.count(kind, if (read is Read.Found) CallOutcome.ANSWERED else CallOutcome.NO_ANSWER)
        return read
    }

    private suspend fun write(
        kind: CallKind,
        call: suspend () -> Write,
    ): Write {
        if (!limit.take(patience)) {
            counts.count(kind, CallOutcome.NOT_SENT)
            return Write.NotSent(OWN_LIMIT)
        }
        val write = withTimeoutOrNull(timeout) { call() } ?: Write.NotKnown("no answer within $timeout")
        counts.count(kind, outcomeOf(write))
        return write
    }

    private fun outcomeOf(write: Write): CallOutcome =
        when (write) {
            is Write.Taken -> CallOutcome.ANSWERED
            is Write.Conflict -> CallOutcome.CONFLICT
            is Write.NotSent -> CallOutcome.NOT_SENT
            is Write.NotKnown -> CallOutcome.NO_ANSWER
        }

    /** Collects the bounds of a [KeyValueClient]. */
    class Builder internal constructor() {
        /** Calls a second, on average; a watch counts as one. */
        var callsPerSecond: Double = 20.0

        /** Calls that may leave at once after a pause. */
        var burst: Int = 40

        /** How long a call may wait for its turn under the limit before it is given up as not sent. */
        var patience: Duration = 5.seconds

        /** How long an answer may take; a watch gets its own waiting time on top. */
        var timeout: Duration = 2.seconds

        /** Measures the limit. */
        var time: TimeSource = TimeSource.Monotonic

        internal fun build(keys: KeyValue) =
            KeyValueClient(keys, RateLimit(callsPerSecond, burst, time), patience, timeout)
    }

    private companion object {
        const val OWN_LIMIT = "this process's own limit of calls is reached"
    }
}

/** A client of [keys] within the bounds that [build] sets. */
fun keyValueClient(
    keys: KeyValue,
    build: KeyValueClient.Builder.() -> Unit = {},
): KeyValueClient = KeyValueClient.Builder().apply(build).build(keys)
