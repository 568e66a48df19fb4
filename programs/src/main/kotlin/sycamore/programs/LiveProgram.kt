package sycamore.programs

import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import sycamore.model.CallId
import sycamore.model.Digest

/** The decision on whether a call of a program may run now. */
sealed interface Admission {
    /** The call has been given [turn] and runs now. [LiveProgram.release] ends the turn. */
    data class Run(
        val turn: Int,
    ) : Admission

    /** The same call is already running; the caller attaches to it. */
    data object Attach : Admission

    /** The same call has already ended with [result]. */
    data class Completed(
        val turn: Int,
        val result: CallResult,
    ) : Admission

    /**
     * The call runs again now, because a takeover left it without a result or because it is idempotent and its outcome is
     * unknown. [LiveProgram.release] ends the turn.
     */
    data class Resume(
        val call: CallState,
    ) : Admission

    /** The call has to wait: another call is running, or an earlier turn is missing. */
    data object Wait : Admission

    /** A different request was sent with the same call id. */
    data object RequestMismatch : Admission

    /** Another call has already used the requested turn; [next] is the next free one. */
    data class TurnTaken(
        val next: Int,
    ) : Admission

    /** The program has ended, with [reason]. */
    data class Ended(
        val reason: String,
    ) : Admission
}

/** A program that this home serves, with its call admission. Guarded by the lock of its shard in [ProgramTable]. */
class LiveProgram internal constructor(
    state: ProgramState,
) {
    private val changed = MutableStateFlow(0L)
    private var runningDigest: Digest? = null
    private var waiting = persistentListOf<CallId>()

    /** The current state of the program. */
    var state: ProgramState = state
        private set

    /** The call whose turn is in progress, or null. */
    var running: CallId? = null
        private set

    /** A counter that changes whenever a waiting call should call [admit] again. */
    val changes: StateFlow<Long> = changed.asStateFlow()

    /** Applies [record] to the state and returns the version of the record. */
    fun apply(record: Record): Long {
        state = state.apply(record)
        changed.value++
        return state.version
    }

    /**
     * Decides whether [call] may run, with an explicit [turn] or, when that is null, the next free one.
     *
     * After [Admission.Wait], call this again when [changes] emits a new value.
     */
    fun admit(
        call: CallId,
        turn: Int?,
        digest: Digest,
    ): Admission {
        val known = state.calls[call]
        if (known != null) return admitRepeat(known, digest)
        if (running == call) return if (digest == runningDigest) Admission.Attach else Admission.RequestMismatch
        state.ended?.let { return Admission.Ended(it) }
        if (turn == null) return admitNext(call, digest)
        return when {
            turn <= state.turn -> Admission.TurnTaken(state.turn + 1)
            running != null -> Admission.Wait
            turn > state.turn + 1 -> Admission.Wait
            else -> start(call, digest)
        }
    }

    /** Ends the turn of [call]. */
    fun release(call: CallId) {
        if (running == call) running = null
        stopWaiting(call)
    }

    /** Removes [call] from the queue of waiting calls. */
    fun stopWaiting(call: CallId) {
        waiting = waiting.remove(call)
        changed.value++
    }

    private fun admitRepeat(
        known: CallState,
        digest: Digest,
    ): Admission {
        val result = known.result
        val mayRunAgain = known.isOutcomeUnknown && known.idempotent && known.turn == state.turn && state.ended == null
        return when {
            known.digest != digest -> Admission.RequestMismatch
            mayRunAgain && running == null -> Admission.Resume(known).also { running = known.id }
            mayRunAgain && running == known.id -> Admission.Attach
            result != null -> Admission.Completed(known.turn, result)
            running == known.id -> Admission.Attach
            else -> Admission.Resume(known).also { running = known.id }
        }
    }

    private fun admitNext(
        call: CallId,
        digest: Digest,
    ): Admission {
        if (call !in waiting) waiting = waiting.add(call)
        if (running != null || state.unresolved.isNotEmpty() || waiting.first() != call) return Admission.Wait
        return start(call, digest)
    }

    private fun start(
        call: CallId,
        digest: Digest,
    ): Admission {
        if (state.unresolved.isNotEmpty()) return Admission.Wait
        waiting = waiting.remove(call)
        running = call
        runningDigest = digest
        return Admission.Run(state.turn + 1)
    }
}
