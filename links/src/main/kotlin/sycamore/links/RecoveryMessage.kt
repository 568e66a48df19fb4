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

/** First reply to [Call]: the home at which it is kept in order. */
@Serializable
@SerialName("homed")
data class Homed(
    val id: CallId,
    val program: ProgramId,
    val home: HomeId,
) : Message

/** Why a gate did not take a [Forward], or lost it. */
@Serializable
enum class Rejection {
    /** The sender's home was taken over. */
    FENCED,

    /** The gate's daemon was restarted, so its ledger begins anew. */
    OTHER_INCARNATION,

    /** The gate has not read the table of ended homes yet. */
    NOT_READY,

    /** The gate's host is leaving. */
    LEAVING,

    /** The call was barred, and can never run. */
    BARRED,

    /** The call is older than the ledger's memory. */
    TOO_OLD,

    /** The ledger has no room. */
    FULL,

    /** The call was to go on, and the gate does not know it. */
    NOT_KNOWN,

    /** The program has ended. */
    PROGRAM_ENDED,

    /** The upstream could not be reached; the call did not run. */
    UNREACHED,

    /** The upstream broke off an idempotent call. */
    BROKEN,
}

/**
 * Last reply to [Forward] and [BarCall].
 *
 * @property incarnation the present run of the gate.
 * @property successor the home that took over the sender's, if it was [Rejection.FENCED].
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
 * Successor to gate: bar the call if it has never run, else yield its answer as to [Forward].
 *
 * Answered by [Rejected] with [Rejection.BARRED], or with [Rejection.OTHER_INCARNATION] when the gate cannot know.
 */
@Serializable
@SerialName("bar")
data class BarCall(
    val id: CallId,
    val gate: Incarnation?,
) : Message

/** Home to a retainer: keep [records], and drop those up to [committed]. Answered by [Done] or [Declined]. */
@Serializable
@SerialName("retain")
data class Retain(
    val home: HomeId,
    val committed: Long,
    val records: List<NumberedRecord>,
) : Message

/** Successor to any daemon: [home] has ended. Answered by [RetainedOf]; nothing more of [home] is accepted. */
@Serializable
@SerialName("fence")
data class FenceHome(
    val home: HomeId,
    val successor: HomeId,
) : Message

/**
 * What the sender retained of a home that has ended.
 *
 * @property isKnown whether that home ever had the sender keep something. One that was restarted does not know.
 */
@Serializable
@SerialName("retained")
data class RetainedOf(
    val home: HomeId,
    val records: List<NumberedRecord>,
    val isKnown: Boolean,
) : Message

/** Successor to retainer: the records of [home] are committed elsewhere and can be dropped. Answered by [Done]. */
@Serializable
@SerialName("forget")
data class ForgetHome(
    val home: HomeId,
) : Message

/** The receiver will not or cannot do it now. */
@Serializable
@SerialName("declined")
data class Declined(
    val reason: String,
    val retryAfter: Duration? = null,
) : LastReply

/**
 * To a host: take over the programs of [home], which is lost or leaves.
 *
 * Answered by [TakenOver], or by [Declined] when the home is alive, or it cannot be done now.
 *
 * @property isWilling whether [home] itself asks.
 */
@Serializable
@SerialName("takeover")
data class TakeOver(
    val home: HomeId,
    val isWilling: Boolean = false,
) : Message

/** The programs of [home] live at [successor]. */
@Serializable
@SerialName("takenover")
data class TakenOver(
    val home: HomeId,
    val successor: HomeId,
) : Message

/** Home to home: what is the root of [program]? Answered by [RootIs], [Declined] or [Elsewhere]. */
@Serializable
@SerialName("root?")
data class AskRoot(
    val program: ProgramId,
    val caller: CallerName,
) : Message

/** The program whose budget a program spends. */
@Serializable
@SerialName("root")
data class RootIs(
    val root: ProgramId,
) : Message

/**
 * A sub-agent's home to the root's home: hold part of the root's budget. Answered by [Reserved], [Elsewhere] or
 * [Declined].
 *
 * @property again whether to hold as much once more for a call that holds some already.
 */
@Serializable
@SerialName("reserve")
data class Reserve(
    val root: ProgramId,
    val call: CallId,
    val prompt: Long,
    val answer: Long,
    val again: Boolean,
) : Message

/** [tokens] are held in all, or none since [limit] is reached. */
@Serializable
@SerialName("reserved")
data class Reserved(
    val tokens: Long,
    val limit: BudgetLimit? = null,
) : Message

/**
 * A sub-agent's home to the root's home: the reservation for [call] ended. Answered by [Done] or [Elsewhere].
 *
 * @property unused tokens of it that were not spent.
 * @property counted whether the call counts against the budget's calls; false when it did not run.
 */
@Serializable
@SerialName("settle")
data class Settle(
    val root: ProgramId,
    val call: CallId,
    val unused: Long,
    val counted: Boolean,
) : Message

/** Home to the host beside an engine: [program] has ended, evict its cache. Answered by [Done] when nothing is left. */
@Serializable
@SerialName("evict")
data class EvictProgram(
    val program: ProgramId,
) : Message
