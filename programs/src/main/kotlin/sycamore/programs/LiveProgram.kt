package sycamore.programs

import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import sycamore.model.CallId
import sycamore.model.Digest

/** What a program says to a call that wants to run. */
sealed interface Admission {
    /** It has [turn] and runs now. [LiveProgram.release] ends its turn. */
    data class Run(
        val turn: Int,
    ) : Admission

    /** The same call runs already. */
    data object Attach : Admission

    /** The same call has ended so. */
    data class Kept(
        val turn: Int,
        val result: CallResult,
    ) : Admission

    /** It runs again from now on, since a takeover left [call] without a result. [LiveProgram.release] ends its turn. */
    data class Resume(
        val call: CallState,
    ) : Admission

    /** Another call is running, or an earlier turn is missing. */
    data object Wait : Admission

    /** Another request was sent under the same id. */
    data object OtherRequest : Admission

    /** Another call has taken the turn; [next] is the next free one. */
    data class TurnTaken(
        val next: Int,
    ) : Admission

    /** The program has ended. */
    data class Ended(
        val reason: String,
    ) : Admission
}

/** A program at its home. Guarded by the lock of its shard in [ProgramTable]. */
class LiveProgram internal constructor(
    state: ProgramState,
) {
    private val changed = MutableStateFlow(0L)
    private var runningDigest: Digest? = null
    private var waiting = persistentListOf<CallId>()

    /** Its state. */
    var state: ProgramState = state
        private set

    /** The call that has its turn, or null. */
    var running: CallId? = null
        private set

    /** Changes whenever a waiting call should ask again. */
    val changes: StateFlow<Long> = changed.asStateFlow()

    /** Applies [record] to the state and returns the version of the record. */
    fun apply(record: Record): Long {
        state = state.apply(record)
        changed.value++
        return state.version
    }

    /** Admits [call] with its explicit [turn], or null for the next one. Ask again after a change when it has to wait. */
    fun admit(
        call: CallId,
        turn: Int?,
        digest: Digest,
    ): Admission {
        val known = state.calls[call]
        if (known != null) return repeat(known, digest)
        if (running == call) return if (digest == runningDigest) Admission.Attach else Admission.OtherRequest
        state.ended?.let { return Admission.Ended(it) }
        if (turn == null) return admitNext(call, digest)
        return when {
            turn <= state.turn -> Admission.TurnTaken(state.turn + 1)
            running != null -> Admission.Wait
            turn > state.turn + 1 -> Admission.Wait
            else -> run(call, digest)
        }
    }

    /** Ends the turn of [call]. */
    fun release(call: CallId) {
        if (running == call) running = null
        abandon(call)
    }

    /** [call] no longer waits. */
    fun abandon(call: CallId) {
        waiting = waiting.remove(call)
        changed.value++
    }

    private fun repeat(
        known: CallState,
        digest: Digest,
    ): Admission {
        val result = known.result
        val mayRunAgain = known.isUnknown && known.idempotent && known.turn == state.turn && state.ended == null
        return when {
            known.digest != digest -> Admission.OtherRequest
            mayRunAgain && running == null -> Admission.Resume(known).also { running = known.id }
            mayRunAgain && running == known.id -> Admission.Attach
            result != null -> Admission.Kept(known.turn, result)
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
        return run(call, digest)
    }

    private fun run(
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
