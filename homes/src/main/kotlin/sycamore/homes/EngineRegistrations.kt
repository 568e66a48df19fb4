package sycamore.homes

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.model.Decoded
import sycamore.platform.StoreKeys
import sycamore.platform.UpstreamEntries
import sycamore.routing.ListedUpstream
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Reads whether an engine has registered as leaving while a turn waited for it. A gateway knows the registrations only
 * when it sends a turn, and those of about a second before.
 *
 * @param drainTime the time after its registration as leaving for which an engine may still get turns.
 */
internal class EngineRegistrations(
    private val keys: KeyValue,
    drainTime: Duration,
    private val time: TimeSource.WithComparableMarks,
) {
    /** With the age of what the gateway knew, this is less than the drain time. */
    private val maxUncheckedWait = drainTime / UNCHECKED_SHARE

    private class Reading(
        val engine: ListedUpstream,
        val isLeaving: Boolean,
        val readAt: ComparableTimeMark,
    )

    private val mutex = Mutex()
    private var last: Reading? = null

    /**
     * Whether [engine] has registered as leaving while a turn has waited since [arrived]. It counts as not leaving if that
     * cannot be read in time, and for a turn that has waited only briefly.
     */
    suspend fun hasLeftSince(
        arrived: ComparableTimeMark,
        engine: ListedUpstream,
    ): Boolean = arrived.elapsedNow() > maxUncheckedWait && isLeaving(engine)

    private suspend fun isLeaving(engine: ListedUpstream): Boolean =
        mutex.withLock {
            val known = last?.takeIf { it.engine.id == engine.id && it.readAt.elapsedNow() < MAX_AGE }
            val reading = known ?: Reading(engine, read(engine), time.markNow()).also { last = it }
            reading.isLeaving
        }

    private suspend fun read(engine: ListedUpstream): Boolean {
        val read = withTimeoutOrNull(READ_TIMEOUT) { keys.get(StoreKeys.UPSTREAMS + engine.id) }
        val entry = (read as? ReadResult.Found)?.value?.let(UpstreamEntries::decode)
        return (entry as? Decoded.Valid)?.value?.isLeaving == true
    }

    private companion object {
        /** The share of the drain time: one part in this many. */
        const val UNCHECKED_SHARE = 3

        /** Limits the reads of a home under load, when most turns wait. */
        val MAX_AGE: Duration = 400.milliseconds

        /** Several times the round trip to the store. Turns of all slots wait for the read. */
        val READ_TIMEOUT: Duration = 100.milliseconds
    }
}
