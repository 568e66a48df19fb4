package sycamore.services

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** The state of a [Lease] as known to this process. */
sealed interface LeaseState {
    /** The lease is not held by this process. */
    data object NotHeld : LeaseState

    /**
     * The lease was held by this process when it was last written.
     *
     * @property fence the version at which the lease was acquired; every later holder has a higher one.
     * @property version the version of the key after the last renewal.
     * @property until the time from which the lease counts as lapsed unless it is renewed.
     */
    data class Held(
        val fence: Revision,
        val version: Revision,
        val until: TimeMark,
    ) : LeaseState
}

/**
 * A lease on a key of the key-value service, which one process holds for a limited time and renews by writing the key.
 *
 * The lease may lapse while its holder is paused. The holder therefore checks [isHeld] directly before each protected
 * operation, and operations that could affect a later holder carry [LeaseState.Held.fence]. The duration is counted
 * from before the write was sent, less a margin, so that the holder considers the lease lapsed before the service lets
 * another process acquire it.
 *
 * @param value a value that is unique to this holder.
 */
class Lease(
    private val keys: KeyValue,
    private val key: String,
    private val value: ByteArray,
    private val duration: Duration = 15.seconds,
    private val time: TimeSource = TimeSource.Monotonic,
) {
    private val state = MutableStateFlow<LeaseState>(LeaseState.NotHeld)

    /** The state of the lease. It has lapsed when it is [LeaseState.Held] and [LeaseState.Held.until] has passed. */
    val current: StateFlow<LeaseState> = state.asStateFlow()

    /** Whether the lease is held at this moment. */
    val isHeld: Boolean get() = (state.value as? LeaseState.Held)?.until?.hasNotPassedNow() == true

    /** Acquires the lease whenever it is free and renews it, until cancelled. */
    suspend fun keepAcquired() {
        while (true) {
            acquireOrRenew()
            delay(duration / RENEWALS_PER_DURATION)
        }
    }

    /** Tries once to acquire or renew the lease; returns whether it is held now. */
    suspend fun acquireOrRenew(): Boolean {
        val before = time.markNow()
        val held = state.value as? LeaseState.Held
        val expected = held?.version ?: Revision.ABSENT
        when (val write = keys.put(key, value, expected, duration)) {
            is WriteResult.Applied -> setHeld(held, write.version, before)
            is WriteResult.Conflict -> state.value = heldAfterLostAnswer(write.current, held) ?: LeaseState.NotHeld
            is WriteResult.NotSent, is WriteResult.OutcomeUnknown -> Unit
        }
        return isHeld
    }

    /** Releases the lease, so that another process can acquire it at once. */
    suspend fun release() {
        val held = state.value as? LeaseState.Held ?: return
        state.value = LeaseState.NotHeld
        keys.delete(key, held.version)
    }

    private fun setHeld(
        held: LeaseState.Held?,
        version: Revision,
        before: TimeMark,
    ) {
        state.value = LeaseState.Held(held?.fence ?: version, version, before + duration * USABLE_SHARE)
    }

    /**
     * The state after a conflict: held if an earlier write of this process took effect although its answer was lost.
     *
     * It is not known when that write was sent, so the lease is not extended.
     */
    private fun heldAfterLostAnswer(
        current: Item?,
        held: LeaseState.Held?,
    ): LeaseState? {
        if (current == null || !value.contentEquals(current.value)) return null
        val until = held?.until ?: time.markNow()
        return LeaseState.Held(held?.fence ?: current.version, current.version, until)
    }

    private companion object {
        const val RENEWALS_PER_DURATION = 3
        const val USABLE_SHARE = 0.8
    }
}
