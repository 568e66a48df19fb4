package sycamore.services

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Whether a [Lease] is held. */
sealed interface Holding {
    /** It is not. */
    data object Free : Holding

    /**
     * It was when last written.
     *
     * @property fence the version at which it was taken; every later holder has a higher one.
     * @property until when it must be taken for lapsed unless it is renewed.
     */
    data class Held(
        val fence: Revision,
        val version: Revision,
        val until: TimeMark,
    ) : Holding
}

/**
 * A key that one process holds for a time, and keeps by writing it again.
 *
 * The service may let the lease lapse while the holder is paused, so the holder asks [isHeld] directly before each act,
 * and acts that others must be protected from carry [Holding.Held.fence]. The time is counted from before the write was
 * sent, less a margin, so that the holder stops believing in the lease before the service gives it away.
 *
 * @param value marks this holder; no other writes the same.
 */
class Lease(
    private val keys: KeyValue,
    private val key: String,
    private val value: ByteArray,
    private val duration: Duration = 15.seconds,
    private val time: TimeSource = TimeSource.Monotonic,
) {
    private val state = MutableStateFlow<Holding>(Holding.Free)

    /** What is known of the lease. A [Holding.Held] whose time has passed has lapsed. */
    val holding: StateFlow<Holding> = state.asStateFlow()

    /** Whether the lease is held at this moment. */
    val isHeld: Boolean get() = (state.value as? Holding.Held)?.until?.hasNotPassedNow() == true

    /** Takes the lease whenever it is free and renews it, until cancelled; then gives it back. */
    suspend fun keep() {
        while (true) {
            attempt()
            delay(duration / RENEWALS)
        }
    }

    /** Takes or renews the lease once; returns whether it is held now. */
    suspend fun attempt(): Boolean {
        val before = time.markNow()
        val held = state.value as? Holding.Held
        val expected = held?.version ?: Revision.ABSENT
        when (val write = keys.put(key, value, expected, duration)) {
            is Write.Taken -> hold(held, write.version, before)
            is Write.Conflict -> state.value = ownAfterLostAnswer(write.current, held) ?: Holding.Free
            is Write.NotSent, is Write.NotKnown -> Unit
        }
        return isHeld
    }

    /** Gives the lease back, so that another can take it at once. */
    suspend fun release() {
        val held = state.value as? Holding.Held ?: return
        state.value = Holding.Free
        keys.delete(key, held.version)
    }

    private fun hold(
        held: Holding.Held?,
        version: Revision,
        before: TimeMark,
    ) {
        state.value = Holding.Held(held?.fence ?: version, version, before + duration * CERTAIN_SHARE)
    }

    /** An earlier write took effect though its answer was lost: the lease is ours, but its time is not known yet. */
    private fun ownAfterLostAnswer(
        current: Item?,
        held: Holding.Held?,
    ): Holding? {
        if (current == null || !value.contentEquals(current.value)) return null
        val until = held?.until ?: time.markNow()
        return Holding.Held(held?.fence ?: current.version, current.version, until)
    }

    private companion object {
        const val RENEWALS = 3
        const val CERTAIN_SHARE = 0.8
    }
}
