package sycamore.links

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sycamore.model.CallId
import sycamore.model.CallerName
import sycamore.model.HomeId
import sycamore.model.Incarnation
import sycamore.model.ProgramId
import sycamore.programs.BudgetLimit
import sycamore.programs.NumberedRecord
import kotlin.time.Duration

/** First reply to [Call]: the home that serves the program and orders its calls. */
@Serializable
@SerialName("homed")
data class Homed(
    val id: CallId,
    val program: ProgramId,
    val home: HomeId,
) : Message

/** The reason why a gate rejected a [Forward], or failed to complete it. */
@Serializable
enum class Rejection {
    /** The sender's home was taken over. */
    FENCED,

    /** The gate's daemon was restarted, so its ledger no longer contains earlier calls. */
    OTHER_INCARNATION,

    /** The gate has not loaded the table of ended homes yet. */
    NOT_READY,

    /** The gate's host is leaving. */
    LEAVING,

    /** The call was barred by [BarCall], and can never run. */
    BARRED,

    /** The call is older than the retention period of the ledger, so it may have run already. */
    TOO_OLD,

    /** The ledger is full. */
    FULL,

    /** The call was to be continued ([Forward.attachOnly]), and the gate's ledger does not contain it. */
    NOT_KNOWN,

    /** The program has ended. */
    PROGRAM_ENDED,

    /** The upstream could not be reached; the call did not run. */
    UNREACHED,

    /** The upstream broke off an idempotent call before its answer was complete. */
    BROKEN,
}

/**
 * Last reply to [Forward] and [BarCall].
 *
 * @property incarnation the present incarnation of the gate.
 * @property successor the home that took over the sender's home, if [reason] is [Rejection.FENCED].
 */
@Serializable
@SerialName("rejected")
data class Rejected(
    val id: CallId,
    val reason: Rejection,
    val incarnation: Incarnation,
    val successor: HomeId? = null,
) : Message

/**
 * Request of a successor to a gate: bar a call of the home that was taken over, so that it can never run.
 *
 * If the call has run already, it is answered like a [Forward]. If not, the answer is [Rejected] with
 * [Rejection.BARRED]. It is [Rejected] with [Rejection.OTHER_INCARNATION] if the gate was restarted and does not know
 * whether the call has run.
 *
 * @property gate the incarnation of the gate that the call was sent to.
 */
@Serializable
@SerialName("bar")
data class BarCall(
    val id: CallId,
    val gate: Incarnation?,
) : Message

/**
 * Request of a home to a retainer: keep [records], and discard those up to number [committed]. Answered by [Done] or
 * [Declined].
 */
@Serializable
@SerialName("retain")
data class RetainRecords(
    val home: HomeId,
    val committed: Long,
    val records: List<NumberedRecord>,
) : Message

/**
 * Notification of a successor to any daemon: [home] has ended. The receiver accepts nothing further of [home]. Answered
 * by [FencedHomeRecords].
 */
@Serializable
@SerialName("fence")
data class FenceHome(
    val home: HomeId,
    val successor: HomeId,
) : Message

/**
 * Reply to [FenceHome]: the records that the sender retained of a home that has ended.
 *
 * @property isKnown whether the sender has ever retained records of that home, as far as it knows. A sender that was
 * restarted does not know.
 */
@Serializable
@SerialName("retained")
data class FencedHomeRecords(
    val home: HomeId,
    val records: List<NumberedRecord>,
    val isKnown: Boolean,
) : Message

/**
 * Request of a successor to a retainer: discard the records of [home], which are committed elsewhere. Answered by
 * [Done].
 */
@Serializable
@SerialName("forget")
data class DiscardRetainedRecords(
    val home: HomeId,
) : Message

/** Reply: the sender does not or cannot carry out the request now. */
@Serializable
@SerialName("declined")
data class Declined(
    val reason: String,
    val retryAfter: Duration? = null,
) : LastReply

/**
 * Request to a host: take over the programs of [home], which is lost or is shutting down.
 *
 * Answered by [TakenOver], or by [Declined] if the home is alive or the takeover is not possible now.
 *
 * @property isVoluntary whether [home] itself hands over its programs, so that the receiver need not check that it is
 * lost.
 */
@Serializable
@SerialName("takeover")
data class TakeOver(
    val home: HomeId,
    @SerialName("isWilling") val isVoluntary: Boolean = false,
) : Message

/** Reply to [TakeOver]: [successor] serves the programs of [home]. */
@Serializable
@SerialName("takenover")
data class TakenOver(
    val home: HomeId,
    val successor: HomeId,
) : Message

/**
 * Request of a home to another home for the root of [program]. Answered by [ProgramRoot], [Declined] or [Elsewhere].
 */
@Serializable
@SerialName("root?")
data class GetProgramRoot(
    val program: ProgramId,
    val caller: CallerName,
) : Message

/** Reply to [GetProgramRoot]: the program whose budget the program spends. */
@Serializable
@SerialName("root")
data class ProgramRoot(
    val root: ProgramId,
) : Message

/**
 * Request of the home of a sub-agent to the home of its root: reserve tokens of the root's budget for [call]. Answered
 * by [TokensReserved], [Elsewhere] or [Declined].
 *
 * @property prompt the number of tokens to reserve for the prompt.
 * @property answer the number of tokens to reserve for the answer.
 * @property again whether to reserve the same number once more if [call] has a reservation already.
 */
@Serializable
@SerialName("reserve")
data class ReserveTokens(
    val root: ProgramId,
    val call: CallId,
    val prompt: Long,
    val answer: Long,
    val again: Boolean,
) : Message

/**
 * Reply to [ReserveTokens].
 *
 * @property tokens the number of tokens that are reserved in all; 0 if [limit] is reached.
 * @property limit the limit of the budget that is reached; null if the tokens are reserved.
 */
@Serializable
@SerialName("reserved")
data class TokensReserved(
    val tokens: Long,
    val limit: BudgetLimit? = null,
) : Message

/**
 * Notification of the home of a sub-agent to the home of its root: [call] has ended, and with it its reservation.
 * Answered by [Done] or [Elsewhere].
 *
 * @property unused the number of reserved tokens that were not spent.
 * @property counted whether the call counts against the budget's limit of calls; false if it did not run.
 */
@Serializable
@SerialName("settle")
data class EndReservation(
    val root: ProgramId,
    val call: CallId,
    val unused: Long,
    val counted: Boolean,
) : Message

/**
 * Request of a home to the host of an engine: evict the cache of [program], which has ended. Answered by [Done] once
 * nothing of it is left.
 */
@Serializable
@SerialName("evict")
data class EvictProgram(
    val program: ProgramId,
) : Message
