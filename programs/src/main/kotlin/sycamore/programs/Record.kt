package sycamore.programs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sycamore.model.Budget
import sycamore.model.CallId
import sycamore.model.CallerName
import sycamore.model.Digest
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.ProgramId
import sycamore.model.ServiceName
import kotlin.time.Instant

/** One record in the log of a program. The state of a program is computed by folding its records in order. */
@Serializable
sealed interface Record {
    val program: ProgramId
}

/**
 * The program started.
 *
 * @property parent the program that started this one as a sub-agent, or null.
 * @property root the program whose budget the calls are charged to; the program itself when it has no parent.
 */
@Serializable
@SerialName("started")
data class ProgramStarted(
    override val program: ProgramId,
    val caller: CallerName,
    val service: ServiceName,
    val parent: ProgramId?,
    val root: ProgramId,
    val budget: Budget,
    val at: Instant,
) : Record

/**
 * A call was accepted for [turn].
 *
 * @property messages the messages that the call adds to the history; empty for a plain call.
 */
@Serializable
@SerialName("accepted")
data class CallAccepted(
    override val program: ProgramId,
    val call: CallId,
    val turn: Int,
    val digest: Digest,
    val messages: List<ChatMessage>,
    val idempotent: Boolean,
    val at: Instant,
) : Record

/**
 * The call is about to be sent to [gate], so it may reach the upstream beside that gate from now on.
 *
 * This record is written before the home sends the call.
 *
 * @property held the tokens of the budget that are reserved for this attempt.
 */
@Serializable
@SerialName("intent")
data class CallIntended(
    override val program: ProgramId,
    val call: CallId,
    val service: ServiceName,
    val gate: HostName,
    val gateIncarnation: String,
    val held: Long = 0,
) : Record

/** The call ended with an answer. */
@Serializable
@SerialName("answered")
data class CallAnswered(
    override val program: ProgramId,
    val call: CallId,
    val answer: Answer,
) : Record

/** The call ended without an answer. */
@Serializable
@SerialName("refused")
data class CallRefused(
    override val program: ProgramId,
    val call: CallId,
    val refusal: Refusal,
) : Record

/** Tokens of the budget of [program], a root program, were reserved for [call] of that program or of a sub-agent. */
@Serializable
@SerialName("reserved")
data class BudgetReserved(
    override val program: ProgramId,
    val call: CallId,
    val tokens: Long,
) : Record

/**
 * The reservation for [call] ended, and [tokens] were spent.
 *
 * @property counted whether the call counts towards the limit of calls in the budget; false when it did not run.
 */
@Serializable
@SerialName("settled")
data class BudgetSettled(
    override val program: ProgramId,
    val call: CallId,
    val tokens: Long,
    val counted: Boolean = true,
) : Record

/** The engine beside [host] holds, or may hold, [tokens] of the program in its cache. */
@Serializable
@SerialName("resident")
data class CacheHeld(
    override val program: ProgramId,
    val host: HostName,
    val tokens: Long,
) : Record

/** The engine beside [host] acknowledged that its cache holds nothing of the program. */
@Serializable
@SerialName("evicted")
data class CacheEvicted(
    override val program: ProgramId,
    val host: HostName,
) : Record

/** The program is served by the home [to] from now on. */
@Serializable
@SerialName("moved")
data class ProgramMoved(
    override val program: ProgramId,
    val to: HomeId,
) : Record

/** The program ended; [reason] is `explicit`, `idle` or `budget`. */
@Serializable
@SerialName("ended")
data class ProgramEnded(
    override val program: ProgramId,
    val reason: String,
    val at: Instant,
) : Record
