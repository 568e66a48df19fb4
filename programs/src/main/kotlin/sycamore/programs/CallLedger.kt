package sycamore.programs

import sycamore.model.CallId
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/** What the ledger says to a call that wants to run. */
sealed interface Entering<out T> {
    /** It is new, stands in the ledger from now on and may run, once. */
    data class New<T>(
        val value: T,
    ) : Entering<T>

    /** It runs or ran already. */
    data class Known<T>(
        val value: T,
    ) : Entering<T>

    /** It was barred: it never ran and never will. */
    data object Barred : Entering<Nothing>

    /** It is older than what the ledger remembers, so it may have run. */
    data object TooOld : Entering<Nothing>

    /** The ledger has no room for it. */
    data object Full : Entering<Nothing>
}

/** What the ledger says when a call is to be barred. */
sealed interface Barring<out T> {
    /** It has not run, and cannot run any more. */
    data object Barred : Barring<Nothing>

    /** It runs or ran already. */
    data class Known<T>(
        val value: T,
    ) : Barring<T>
}

/**
 * Which calls a gate has sent to its upstream or barred, so that none is sent twice.
 *
 * @param retention how long a call is remembered after it was entered.
 * @param maxCalls bound of remembered calls. At the bound new ones are turned away and no old one is forgotten.
 */
class CallLedger<T : Any>(
    private val retention: Duration = RETENTION,
    private val maxCalls: Int = MAX_CALLS,
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Line<T>(
        val value: T?,
        val since: ComparableTimeMark,
    )

    private val shards = Shards { LinkedHashMap<CallId, Line<T>>() }
    private val count = AtomicInteger()

    /** How many calls are remembered. */
    val size: Int get() = count.get()

    /** Enters [call], which its home accepted [age] ago. [create] makes what later repeats attach to. */
    fun enter(
        call: CallId,
        age: Duration,
        create: () -> T,
    ): Entering<T> =
        shards.on(call) { lines ->
            val line = lines[call]
            when {
                line != null -> line.value?.let { Entering.Known(it) } ?: Entering.Barred
                age >= retention -> Entering.TooOld
                !reserve() -> Entering.Full
                else -> Entering.New(create().also { lines[call] = Line(it, time.markNow()) })
            }
        }

    /** What [call] attaches to, or null when it is not known or was barred. */
    fun find(call: CallId): T? = shards.on(call) { it[call]?.value }

    /** Bars [call] unless it runs or ran already. A bar is remembered even when the ledger is full. */
    fun bar(call: CallId): Barring<T> =
        shards.on(call) { lines ->
            val line = lines[call]
            if (line == null) {
                lines[call] = Line(null, time.markNow())
                count.incrementAndGet()
            }
            line?.value?.let { Barring.Known(it) } ?: Barring.Barred
        }

    /** Forgets [call], which was entered and never reached the upstream. */
    fun withdraw(call: CallId) {
        shards.on(call) { lines -> if (lines.remove(call) != null) count.decrementAndGet() }
    }

    /** Forgets calls that were entered longer ago than the retention, unless [keep] holds for them. */
    fun expire(keep: (T) -> Boolean) {
        shards.each { lines ->
            val old = lines.filterValues { it.since.elapsedNow() >= retention && it.value?.let(keep) != true }.keys
            old.forEach { lines.remove(it) }
            count.addAndGet(-old.size)
        }
    }

    private fun reserve(): Boolean {
        if (count.incrementAndGet() <= maxCalls) return true
        count.decrementAndGet()
        return false
    }

    companion object {
        /** Longer than any deadline, the retries within it and the longest silence of a link. */
        val RETENTION = 30.minutes

        /** Default bound of remembered calls. */
        const val MAX_CALLS = 200_000
    }
}
