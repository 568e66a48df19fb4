package sycamore.programs

import sycamore.model.CallId
import sycamore.model.Digest
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.ServiceName

/** Where a call was or may have been sent, and the tokens held for that. */
data class Intent(
    val service: ServiceName,
    val gate: HostName,
    val gateIncarnation: Incarnation,
    val held: Long = 0,
)

/** How a call ended. */
sealed interface CallResult {
    /** With an answer. */
    data class Answered(
        val answer: Answer,
    ) : CallResult

    /** With an answer that is no longer kept. */
    data object Forgotten : CallResult

    /** With a refusal of outcome unknown or failed. A call that did not run leaves no trace. */
    data class Ended(
        val refusal: Refusal,
    ) : CallResult
}

/**
 * One call of a program.
 *
 * @property intents gates that it may have reached, in order.
 * @property result how it ended, or null while it runs.
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
    /** Whether it ended without anyone knowing whether it ran. */
    val isUnknown: Boolean get() = (result as? CallResult.Ended)?.refusal?.outcome == Outcome.UNKNOWN
}
