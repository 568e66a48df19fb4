package sycamore.host

import sycamore.links.Call
import sycamore.links.Rejection
import sycamore.links.Whole
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.ProgramId
import sycamore.model.Service
import sycamore.model.ServiceKind
import sycamore.programs.CallState
import sycamore.programs.ChatBody
import sycamore.programs.ChatMessage
import sycamore.programs.Refusal
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * A call that has been admitted in its turn at the home of its program.
 *
 * @property priorState the recorded state of the call from an earlier home or attempt, or null for a new call.
 * @property accepted the time at which this home accepted the call.
 */
internal class CallJob(
    val service: Service,
    val call: Call,
    val program: ProgramId,
    val root: ProgramId,
    val turn: Int,
    val stream: AnswerStream,
    val priorState: CallState?,
    val accepted: ComparableTimeMark,
) {
    /** Whether an upstream may have received the call. Such a call is never refused with outcome `NOT_RUN`. */
    var mayHaveRun = priorState?.isOutcomeUnknown == true

    /** The tokens of the budget that are reserved for the current attempt. */
    var heldTokens = priorState?.intents?.lastOrNull()?.held ?: 0

    /** Whether the acceptance of the call is recorded in the log of the home. */
    var isAccepted = priorState != null && priorState.result == null

    /** Whether part of the budget may be reserved for the call. */
    var mayHoldBudget = priorState != null

    /** The time until the caller's deadline. */
    val timeLeft: Duration get() = call.timeLeft - accepted.elapsedNow()

    /** Whether the call is a chat completion. */
    val isChat: Boolean get() = service.kind == ServiceKind.MODEL

    /** Whether the call may be sent to an upstream more than once. */
    val isIdempotent: Boolean =
        service.kind == ServiceKind.MODEL || service.contract(call.request.method, call.request.path).idempotent

    /** The program of the call and the root program whose budget it spends. */
    val programs: Set<ProgramId> get() = setOf(program, root)
}

/**
 * The content of a call as it is sent to the upstream.
 *
 * @property body the parsed body of a chat completion; null for a plain call.
 * @property history the messages of the conversation before this call.
 * @property added the messages that this call adds.
 * @property promptTokens the upper bound of the prompt in tokens.
 * @property answerTokens the upper bound of the answer in tokens.
 */
internal class PreparedCall(
    val body: ChatBody?,
    val history: List<ChatMessage>,
    val added: List<ChatMessage>,
    val promptTokens: Long,
    val answerTokens: Long,
)

/** The gate that a call is sent to: its host and the incarnation of the daemon there. */
internal data class GateTarget(
    val host: HostName,
    val incarnation: Incarnation,
)

/** The result of one attempt to run a call at a gate. */
internal sealed interface Attempt {
    /** The upstream answered. */
    class Answered(
        val completion: Whole,
    ) : Attempt

    /** The gate refused the call with a [refusal] that is meant for the caller. */
    class Refused(
        val refusal: Refusal,
    ) : Attempt

    /** The gate did not accept the call, or aborted it, for [reason]. */
    class Rejected(
        val reason: Rejection,
    ) : Attempt

    /** The gate rejected the call since this home was taken over. [successor] is null if the gate does not know it. */
    class Fenced(
        val successor: HomeId?,
    ) : Attempt

    /** A model engine responded with the error [status]. */
    class Failed(
        val status: Int,
        val detail: String,
    ) : Attempt

    /** The link to the gate failed. [sent] is whether the gate may have received the call. */
    class Lost(
        val sent: Boolean,
    ) : Attempt
}

/** The result of a call. */
internal sealed interface CallEnd {
    /** The upstream of the host [gate] answered. */
    class Answered(
        val completion: Whole,
        val gate: HostName,
    ) : CallEnd

    /** The call ended without an answer. */
    class Refused(
        val refusal: Refusal,
    ) : CallEnd
}
