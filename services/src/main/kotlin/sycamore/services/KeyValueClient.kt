package sycamore.services

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Limits and counts the calls of this process to a [KeyValue]: each has a timeout, and their rate is limited.
 *
 * It does not retry by itself. Reads are retried by [retryRead] and [watch], writes by [putAndConfirm].
 */
class KeyValueClient private constructor(
    private val keys: KeyValue,
    private val limit: RateLimit,
    private val maxWait: Duration,
    private val timeout: Duration,
    override val maxWatchWait: Duration,
    private val maxWatchDelay: Duration,
    private val maxUnhurriedWait: Duration,
) : KeyValue {
    /** The counts of the calls made so far. */
    val counts = CallCounts()

    override val unhurried: KeyValue =
        object : KeyValue by this {
            override val maxWatchWait: Duration get() = maxUnhurriedWait

            override suspend fun changes(
                prefix: String,
                after: Revision,
                wait: Duration,
            ): ReadResult<List<Item>> = changesWithin(prefix, after, minOf(wait, maxUnhurriedWait))
        }

    override suspend fun get(key: String): ReadResult<Item?> = read(CallKind.GET, timeout) { keys.get(key) }

    override suspend fun list(prefix: String): ReadResult<List<Item>> =
        read(CallKind.LIST, timeout) { keys.list(prefix) }

    override suspend fun changes(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): ReadResult<List<Item>> = changesWithin(prefix, after, minOf(wait, maxWatchWait))

    private suspend fun changesWithin(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): ReadResult<List<Item>> = read(CallKind.WATCH, wait + maxWatchDelay) { keys.changes(prefix, after, wait) }

    override suspend fun put(
        key: String,
        value: ByteArray,
        expected: Revision,
        lease: Duration?,
        condition: KeyVersion?,
    ): WriteResult = write(CallKind.PUT) { keys.put(key, value, expected, lease, condition) }

    override suspend fun delete(
        key: String,
        expected: Revision,
    ): WriteResult = write(CallKind.DELETE) { keys.delete(key, expected) }

    override suspend fun putEmpty(
        keys: List<String>,
        lease: Duration,
    ): WriteResult = write(CallKind.PUT) { this.keys.putEmpty(keys, lease) }

    override suspend fun remove(keys: List<String>): WriteResult = write(CallKind.DELETE) { this.keys.remove(keys) }

    private suspend fun <T> read(
        kind: CallKind,
        within: Duration,
        call: suspend () -> ReadResult<T>,
    ): ReadResult<T> {
        if (!limit.acquire(maxWait)) {
            counts.record(kind, CallOutcome.NOT_SENT)
            return ReadResult.Unreachable(RATE_LIMITED)
        }
        val read =
            try {
                withTimeoutOrNull(within) { call() } ?: ReadResult.Unreachable("no answer within $within")
            } catch (e: CancellationException) {
                counts.record(kind, CallOutcome.NO_ANSWER)
                throw e
            }
        counts.record(kind, if (read is ReadResult.Found) CallOutcome.ANSWERED else CallOutcome.NO_ANSWER)
        return read
    }

    private suspend fun write(
        kind: CallKind,
        call: suspend () -> WriteResult,
    ): WriteResult {
        if (!limit.acquire(maxWait)) {
            counts.record(kind, CallOutcome.NOT_SENT)
            return WriteResult.NotSent(RATE_LIMITED)
        }
        val write = withTimeoutOrNull(timeout) { call() } ?: WriteResult.OutcomeUnknown("no answer within $timeout")
        counts.record(kind, outcomeOf(write))
        return write
    }

    private fun outcomeOf(write: WriteResult): CallOutcome =
        when (write) {
            is WriteResult.Applied -> CallOutcome.ANSWERED
            is WriteResult.Conflict -> CallOutcome.CONFLICT
            is WriteResult.NotSent -> CallOutcome.NOT_SENT
            is WriteResult.OutcomeUnknown -> CallOutcome.NO_ANSWER
        }

    /** The limits of a [KeyValueClient]. */
    class Builder internal constructor() {
        /** The average number of calls a second; a watch counts as one call. */
        var callsPerSecond: Double = 20.0

        /** The number of calls that may be sent at once after a pause. */
        var burst: Int = 40

        /** The longest time that a call waits because of the rate limit before it fails as not sent. */
        var maxWait: Duration = 5.seconds

        /** The longest time to wait for an answer to a call other than a watch. */
        var timeout: Duration = 2.seconds

        /**
         * The longest time that a watch waits. Longer ones are answered after this time, without changes. Only an answer
         * shows that the connection of a watch is sound.
         */
        var maxWatchWait: Duration = 30.seconds

        /** The longest time that a watch of [KeyValue.unhurried] waits; [maxWatchWait] if null. */
        var maxUnhurriedWait: Duration? = null

        /** The longest time by which the answer to a watch may be late. */
        var maxWatchDelay: Duration = 2.seconds

        /** The time source of the rate limit. */
        var time: TimeSource = TimeSource.Monotonic

        internal fun build(keys: KeyValue) =
            KeyValueClient(
                keys,
                RateLimit(callsPerSecond, burst, time),
                maxWait,
                timeout,
                maxWatchWait,
                maxWatchDelay,
                maxUnhurriedWait ?: maxWatchWait,
            )
    }

    private companion object {
        const val RATE_LIMITED = "the limit of this process on calls to the key-value service is reached"
    }
}

/** Creates a client of [keys] with the limits that [build] sets. */
fun keyValueClient(
    keys: KeyValue,
    build: KeyValueClient.Builder.() -> Unit = {},
): KeyValueClient = KeyValueClient.Builder().apply(build).build(keys)
