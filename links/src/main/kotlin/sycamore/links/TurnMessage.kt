package sycamore.links

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sycamore.model.Address
import sycamore.model.HomeId
import sycamore.routing.AttemptId
import sycamore.routing.ListedUpstream
import sycamore.routing.ProgramName
import sycamore.turns.LogRecord
import sycamore.turns.RetainerId
import kotlin.time.Duration

/** A header of a call or an answer. */
@Serializable
data class HeaderField(
    val name: String,
    val value: String,
)

/** A home and where it is reached. */
@Serializable
data class HomeAt(
    val home: HomeId,
    val address: Address,
)

/**
 * Entry to home: run a turn. Answered by [TurnRefused], or by [TurnBegun], [TurnBytes] and [TurnWhole] or [TurnBroke].
 *
 * @property previousAt the home of [previous], if that is not the receiver.
 * @property keepsHistory whether the home composes the prompt from earlier turns; else [input] is all of it.
 * @property target the engine that it shall run at.
 * @property targetHost the daemon beside that engine; null if there is none.
 * @property engineSlots calls that the engine runs at once.
 * @property tokensPerEvent tokens in each event of the answer.
 * @property tokenBudget tokens that all turns of the program may generate.
 * @property mostTokens tokens that this turn may generate.
 * @property timeLeft until the caller or the route gives up.
 */
@Serializable
@SerialName("turn")
data class RunTurn(
    val program: ProgramName,
    val turn: AttemptId,
    val previous: AttemptId?,
    val previousAt: HomeAt?,
    val keepsHistory: Boolean,
    val target: ListedUpstream,
    val targetHost: Address?,
    val engineSlots: Int,
    val tokensPerEvent: Int,
    val tokenBudget: Long?,
    val mostTokens: Long,
    val promptTokens: Long,
    val priority: Int,
    val timeLeft: Duration,
    val method: String,
    val path: String,
    val headers: List<HeaderField>,
    val input: ByteArray,
) : Message

/** Home to the gate beside another engine: run this composed turn there. Answered by [TurnSent] and then as [RunTurn] is. */
@Serializable
@SerialName("prompt")
data class RunPrompt(
    val call: RunTurn,
    val prompt: ByteArray,
) : Message

/** First reply of a gate: the turn goes to the engine now. */
@Serializable
@SerialName("turn-sent")
data object TurnSent : Message

/** The engine has begun to answer. */
@Serializable
@SerialName("turn-begun")
data class TurnBegun(
    val status: Int,
    val headers: List<HeaderField>,
) : Message

/** Bytes of the answer. */
@Serializable
@SerialName("turn-bytes")
data class TurnBytes(
    val bytes: ByteArray,
) : Message

/**
 * Last reply: the answer is whole, and the turn can be continued.
 *
 * @property load of the sender's engine, as [GateStatus] tells it to those who ask; null if the sender is not the home.
 */
@Serializable
@SerialName("turn-whole")
data class TurnWhole(
    val load: GateStatus? = null,
) : LastReply

/** Last reply: the answer broke off. The turn may have run. */
@Serializable
@SerialName("turn-broke")
data class TurnBroke(
    val reason: String,
) : LastReply

/** Why a turn did not run. */
@Serializable
enum class TurnRefusal {
    /** Its program's budget does not hold it. */
    BUDGET_SPENT,

    /** The turn that it continues does not exist. */
    NO_SUCH_TURN,

    /** It cannot be served now. */
    NOT_NOW,

    /** Another upstream has the address of its target, or the target is gone. */
    TARGET_GONE,

    /** The target said that it leaves, and takes no more calls. */
    TARGET_LEAVES,

    /** The home is not ready or has ended, or the program lives at another one. */
    NOT_HERE,
}

/**
 * Last reply: the turn did not run and will not.
 *
 * @property retryAfter when it could be served; null if that is not known.
 * @property livesAt the program's home, if that is known to be another one.
 */
@Serializable
@SerialName("turn-refused")
data class TurnRefused(
    val reason: TurnRefusal,
    val detail: String,
    val retryAfter: Duration? = null,
    val livesAt: HomeAt? = null,
) : LastReply

/** Home to home: what is the prompt after [turn]? Answered by [Prompt]. */
@Serializable
@SerialName("prompt?")
data class AskPrompt(
    val turn: AttemptId,
) : Message

/** Answers [AskPrompt]; null if the turn was not answered whole there. */
@Serializable
@SerialName("prompt-of")
data class Prompt(
    val bytes: ByteArray?,
) : LastReply

/** Entry to host: how loaded is its engine? Answered by [GateStatus]. */
@Serializable
@SerialName("load?")
data object AskGate : Message

/**
 * Answers [AskGate].
 *
 * @property home of the daemon.
 * @property isReady whether it takes turns.
 * @property running calls at the engine.
 * @property waiting calls in the queue.
 * @property wait time until a new call would begin.
 */
@Serializable
@SerialName("load")
data class GateStatus(
    val home: HomeId,
    val isReady: Boolean,
    val running: Int,
    val waiting: Int,
    val wait: Duration,
) : LastReply

/** Entry to host: take over the programs of [lost], unless it lives. Answered by [HomeTaken] or [Declined]. */
@Serializable
@SerialName("take-home")
data class TakeHome(
    val lost: HomeAt,
    val isWilling: Boolean = false,
) : Message

/** Answers [TakeHome]: [successor] serves the programs of [lost]. */
@Serializable
@SerialName("home-taken")
data class HomeTaken(
    val lost: HomeId,
    val successor: HomeAt,
) : LastReply

/** Home to retainer: keep [records], and drop those up to [committed]. Answered by [Done] or [Declined]. */
@Serializable
@SerialName("keep")
data class KeepRecords(
    val retainer: RetainerId,
    val home: HomeId,
    val committed: Long,
    val records: List<LogRecord>,
) : Message

/** Home to retainer: does it serve, with the data folder [retainer]? Answered by [Done] or [Declined]. */
@Serializable
@SerialName("retainer?")
data class AskRetainer(
    val retainer: RetainerId,
) : Message

/** Successor to retainer: [home] has ended. Answered by [RecordsOf]; nothing more of [home] is accepted. */
@Serializable
@SerialName("end-home")
data class EndHome(
    val retainer: RetainerId,
    val home: HomeId,
) : Message

/** Answers [EndHome]: what the sender kept. */
@Serializable
@SerialName("records-of")
data class RecordsOf(
    val home: HomeId,
    val records: List<LogRecord>,
) : LastReply

/** Successor to retainer: the records of [home] are committed elsewhere and can be dropped. Answered by [Done]. */
@Serializable
@SerialName("drop-home")
data class DropHome(
    val home: HomeId,
) : Message
