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
 * A call that has its turn at its home.
 *
 * @property known what an earlier home or attempt left of it, or null for a new call.
 * @property accepted when this home accepted it.
 */
internal class CallJob(
    val service: Service,
    val call: Call,
    val program: ProgramId,
    val root: ProgramId,
    val turn: Int,
    val stream: AnswerStream,
    val known: CallState?,
    val accepted: ComparableTimeMark,
) {
    /** Whether an upstream may have seen it. Such a call is never refused as not run. */
    var mayHaveRun = known?.isOutcomeUnknown == true

    /** Tokens held for the present attempt. */
    var heldTokens = known?.intents?.lastOrNull()?.held ?: 0

    /** Whether its records are in the log. */
    var isAccepted = known != null && known.result == null

    /** Whether part of the budget may be held. */
    var isHeld = known != null

    /** Time until the caller's deadline. */
    val timeLeft: Duration get() = call.timeLeft - accepted.elapsedNow()

    /** Whether it is a chat completion. */
    val isChat: Boolean get() = service.kind == ServiceKind.MODEL

    /** Whether it may be repeated. */
    val isIdempotent: Boolean =
        service.kind == ServiceKind.MODEL || service.contract(call.request.method, call.request.path).idempotent

    /** Its program and the root whose budget it spends. */
    val programs: Set<ProgramId> get() = setOf(program, root)
}

/**
 * What a call sends to the upstream.
 *
 * @property body the parsed body of a chat completion; null for a plain call.
 * @property history messages before this call.
 * @property added messages that this call adds.
 * @property promptTokens upper bound of the prompt.
 * @property answerTokens upper bound of the answer.
 */
internal class Prepared(
    val body: ChatBody?,
    val history: List<ChatMessage>,
    val added: List<ChatMessage>,
    val promptTokens: Long,
    val answerTokens: Long,
)

/** A gate's run that a call is sent to. */
internal data class Target(
    val host: HostName,
    val incarnation: Incarnation,
)

/** How one attempt to run a call at a gate ended. */
internal sealed interface Sent {
    /** The upstream answered. */
    class Answered(
        val whole: Whole,
    ) : Sent

    /** The gate refused it for good. */
    class Refused(
        val refusal: Refusal,
    ) : Sent

    /** The gate did not take it, or lost it. */
    class Rejected(
        val reason: Rejection,
    ) : Sent

    /** The gate says that this home has ended. */
    class Fenced(
        val successor: HomeId?,
    ) : Sent

    /** A model engine failed with [status]. */
    class Failed(
        val status: Int,
        val detail: String,
    ) : Sent

    /** The link was lost. [sent] tells whether the gate may have got the call. */
    class Lost(
        val sent: Boolean,
    ) : Sent
}

/** How a call ended. */
internal sealed interface CallEnd {
    /** With an answer of the upstream on [gate]. */
    class Answered(
        val whole: Whole,
        val gate: HostName,
    ) : CallEnd

    /** Without. */
    class Refused(
        val refusal: Refusal,
    ) : CallEnd
}
