package sycamore.programs

import sycamore.model.CallId
import sycamore.model.Digest
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.ServiceName

/**
 * The intent to send a call to the upstream beside a gate. The call may have reached that upstream.
 *
 * @property held the tokens of the budget that are reserved for this attempt.
 */
data class Intent(
    val service: ServiceName,
    val gate: HostName,
    val gateIncarnation: Incarnation,
    val held: Long = 0,
)

/** The final result of a call. */
sealed interface CallResult {
    /** The call ended with an answer. */
    data class Answered(
        val answer: Answer,
    ) : CallResult

    /** The call ended with an answer whose body is no longer kept. */
    data object AnswerDiscarded : CallResult

    /**
     * The call was refused with outcome [Outcome.UNKNOWN] or [Outcome.FAILED].
     *
     * A call that did not run is removed from the state instead.
     */
    data class Refused(
        val refusal: Refusal,
    ) : CallResult
}

/**
 * The state of one call of a program.
 *
 * @property intents the attempts to send the call, in order; it may have reached any of these gates.
 * @property result the final result, or null while the call is in progress.
 */
data class CallState(
    val id: CallId,
    val turn: Int,
    val digest: Digest,
    val messages: List<ChatMessage>,
    val idempotent: Boolean,
    val intents: List<Intent> = emptyList(),
    val result: CallResult? = null,
) {
    /** Whether the call ended without it being known whether it ran. */
    val isOutcomeUnknown: Boolean get() = (result as? CallResult.Refused)?.refusal?.outcome == Outcome.UNKNOWN
}
