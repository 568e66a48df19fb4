package sycamore.programs

import sycamore.model.CallId
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/** The result of entering a call into the [CallLedger] before it is sent to the upstream. */
sealed interface EnterResult<out T> {
    /** The call was not in the ledger. It has been entered with [value] and may run once. */
    data class New<T>(
        val value: T,
    ) : EnterResult<T>

    /** The call was entered earlier: it is running or has run. [value] was stored when it was entered. */
    data class Known<T>(
        val value: T,
    ) : EnterResult<T>

    /** The call was barred before it ran, and must never run. */
    data object Barred : EnterResult<Nothing>

    /** The call is older than the retention period of the ledger, so it may have run already. */
    data object TooOld : EnterResult<Nothing>

    /** The ledger has reached its maximum number of calls. */
    data object Full : EnterResult<Nothing>
}

/** The result of barring a call in the [CallLedger]. */
sealed interface BarResult<out T> {
    /** The call has not run and can no longer run. */
    data object Barred : BarResult<Nothing>

    /** The call is running or has run, so it was not barred. */
    data class Known<T>(
        val value: T,
    ) : BarResult<T>
}

/**
 * Records which calls a gate has sent to its upstream or barred, so that no call is sent twice.
 *
 * @param retention how long a call is kept after it was entered.
 * @param maxCalls the maximum number of calls kept. When it is reached, new calls are refused and none is removed.
 */
class CallLedger<T : Any>(
    private val retention: Duration = RETENTION,
    private val maxCalls: Int = MAX_CALLS,
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    /** The entry of one call. [value] is null when the call was barred. */
    private class LedgerEntry<T>(
        val value: T?,
        val enteredAt: ComparableTimeMark,
    )

    private val shards = Shards { LinkedHashMap<CallId, LedgerEntry<T>>() }
    private val count = AtomicInteger()

    /** The number of calls in the ledger. */
    val size: Int get() = count.get()

    /** Enters [call], which its home accepted [age] ago. [create] makes the value that repeats of it attach to. */
    fun enter(
        call: CallId,
        age: Duration,
        create: () -> T,
    ): EnterResult<T> =
        shards.withShard(call) { entries ->
            val entry = entries[call]
            when {
                entry != null -> entry.value?.let { EnterResult.Known(it) } ?: EnterResult.Barred
                age >= retention -> EnterResult.TooOld
                !reserveCapacity() -> EnterResult.Full
                else -> EnterResult.New(create().also { entries[call] = LedgerEntry(it, time.markNow()) })
            }
        }

    /** The value that repeats of [call] attach to, or null when the call is not in the ledger or was barred. */
    fun find(call: CallId): T? = shards.withShard(call) { it[call]?.value }

    /** Bars [call] unless it is running or has run. The bar is recorded even when the ledger is full. */
    fun bar(call: CallId): BarResult<T> =
        shards.withShard(call) { entries ->
            val entry = entries[call]
            if (entry == null) {
                entries[call] = LedgerEntry(null, time.markNow())
                count.incrementAndGet()
            }
            entry?.value?.let { BarResult.Known(it) } ?: BarResult.Barred
        }

    /** Removes [call], which was entered but never reached the upstream. */
    fun withdraw(call: CallId) {
        shards.withShard(call) { entries -> if (entries.remove(call) != null) count.decrementAndGet() }
    }

    /** Removes calls that were entered longer ago than the retention period, unless [keep] returns true for them. */
    fun expire(keep: (T) -> Boolean) {
        shards.mapShards { entries ->
            val expired =
                entries.filterValues { it.enteredAt.elapsedNow() >= retention && it.value?.let(keep) != true }.keys
            expired.forEach { entries.remove(it) }
            count.addAndGet(-expired.size)
        }
    }

    private fun reserveCapacity(): Boolean {
        if (count.incrementAndGet() <= maxCalls) return true
        count.decrementAndGet()
        return false
    }

    companion object {
        /** Longer than any call deadline, the retries within it and the longest time without a response on a link. */
        val RETENTION = 30.minutes

        /** The default maximum number of calls kept. */
        const val MAX_CALLS = 200_000
    }
}
