package sycamore.links

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sycamore.model.Address
import sycamore.model.CallerName
import sycamore.model.HomeId
import sycamore.routing.AttemptId
import sycamore.routing.ListedUpstream
import sycamore.routing.ProgramName
import sycamore.turns.LogRecord
import sycamore.turns.RetainerId
import kotlin.time.Duration

/** An HTTP header of a call or an answer. */
@Serializable
data class HeaderField(
    val name: String,
    val value: String,
)

/** A home and the address of its daemon. */
@Serializable
@SerialName("sycamore.links.HomeAt")
data class HomeEndpoint(
    val home: HomeId,
    val address: Address,
)

/**
 * An upstream that can run a turn.
 *
 * @property host the address of the daemon with the upstream's gate; null if the upstream has no gate.
 */
@Serializable
data class TurnTarget(
    val engine: ListedUpstream,
    val host: Address?,
)

/**
 * Where the answer to a turn may go on after its engine has broken off.
 *
 * @property targets the engines to try, the best one first.
 * @property runs the number of engines that may run the turn, including the first one.
 */
@Serializable
data class TurnContinuation(
    val targets: List<TurnTarget>,
    val runs: Int,
)

/**
 * Request of an entry to a home: run a turn. Answered by [TurnRefused], or by [TurnBegun], [TurnBytes], and
 * [TurnComplete] or [TurnInterrupted].
 *
 * @property previous the turn that this one continues; null if it continues none.
 * @property previousAt the home that has [previous], if it is not the receiver.
 * @property keepsHistory whether the home composes the prompt from earlier turns; if not, [input] is the complete
 * prompt.
 * @property target the upstream that shall run the turn: an engine, or an upstream of a service without engines.
 * @property targetHost the address of the daemon with the gate of [target]; null if it has no gate, so that the home sends the turn
 * to it directly.
 * @property engineSlots the number of calls that [target] runs at once.
 * @property tokensPerEvent the number of tokens that each event of the answer counts in the budget.
 * @property tokenBudget the number of tokens that all turns of the program together may generate; null if there is no
 * limit.
 * @property mostTokens the number of tokens that this turn may generate.
 * @property timeLeft the time until the caller's deadline or the time-out of the route.
 * @property finishIn the time until the program should be finished; null if the caller named none.
 * @property continuation where the answer may go on if the engine breaks off; null if it must not.
 * @property unreadTokens the estimated number of prompt tokens that [target] does not hold; null if it is not known.
 */
@Serializable
@SerialName("turn")
data class RunTurn(
    val program: ProgramName,
    val turn: AttemptId,
    val previous: AttemptId?,
    val previousAt: HomeEndpoint?,
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
    val finishIn: Duration? = null,
    val continuation: TurnContinuation? = null,
    val unreadTokens: Long? = null,
) : Message

/**
 * Request of a home to the gate of an engine on another host: run a turn whose prompt is composed already. Answered by
 * [TurnSent], and then like [RunTurn].
 */
@Serializable
@SerialName("prompt")
data class RunPrompt(
    val call: RunTurn,
    val prompt: ByteArray,
) : Message

/** First reply to [RunPrompt]: the gate sends the turn to the engine now. */
@Serializable
@SerialName("turn-sent")
data object TurnSent : Message

/** Reply to [RunTurn] and [RunPrompt]: the head of the engine's answer. */
@Serializable
@SerialName("turn-begun")
data class TurnBegun(
    val status: Int,
    val headers: List<HeaderField>,
) : Message

/** Reply to [RunTurn] and [RunPrompt]: the next bytes of the answer. */
@Serializable
@SerialName("turn-bytes")
data class TurnBytes(
    val bytes: ByteArray,
) : Message

/**
 * Last reply to [RunTurn] and [RunPrompt]: the answer is complete, and later turns can continue the turn.
 *
 * @property load the load of the sender's engine, as in the reply to [GetGateStatus]; null if the sender is not the
 * home.
 * @property targetLoad the load of the engine that ran the turn, if it is that of another host; null if it is not known.
 */
@Serializable
@SerialName("turn-whole")
data class TurnComplete(
    val load: GateStatus? = null,
    val targetLoad: GateStatus? = null,
) : LastReply

/** Last reply to [RunTurn] and [RunPrompt]: the answer ended before it was complete. The turn may have run. */
@Serializable
@SerialName("turn-broke")
data class TurnInterrupted(
    val reason: String,
) : LastReply

/** The reason why a turn did not run. */
@Serializable
enum class TurnRefusal {
    /** The budget of its program has too few tokens left. */
    BUDGET_SPENT,

    /** The turn that it continues does not exist. */
    NO_SUCH_TURN,

    /** The turn cannot run now, but may run later. */
    NOT_NOW,

    /** Another upstream has the address of its target engine, or the engine or its gate cannot be reached. */
    TARGET_GONE,

    /** The target engine reports that it is shutting down and accepts no further calls. */
    TARGET_LEAVES,

    /** The target has no gate in whose queue the turn could wait, and reports that it is full. */
    TARGET_FULL,

    /** The home is not ready or has ended, or another home serves the program. */
    NOT_HERE,
}

/**
 * Last reply to [RunTurn] and [RunPrompt]: the turn did not run, and will not run.
 *
 * @property retryAfter the time after which a repetition may succeed; null if it is not known.
 * @property servedBy the home that serves the program, if it is known and not the sender.
 */
@Serializable
@SerialName("turn-refused")
data class TurnRefused(
    val reason: TurnRefusal,
    val detail: String,
    val retryAfter: Duration? = null,
    @SerialName("livesAt") val servedBy: HomeEndpoint? = null,
) : LastReply

/**
 * Request of a home to another home for the prompt that a turn of [account] after [turn] continues. Answered by [Prompt].
 *
 * @property account the account that [turn] has to belong to; null if it has to belong to none.
 */
@Serializable
@SerialName("prompt?")
data class GetPrompt(
    val turn: AttemptId,
    val account: CallerName? = null,
) : Message

/** Reply to [GetPrompt]; null if the sender does not have the complete answer of the account's turn. */
@Serializable
@SerialName("prompt-of")
data class Prompt(
    val bytes: ByteArray?,
) : LastReply

/** Request of an entry to a host for the load of its engine. Answered by [GateStatus]. */
@Serializable
@SerialName("load?")
data object GetGateStatus : Message

/**
 * Reply to [GetGateStatus].
 *
 * @property home the home of the sender.
 * @property isReady whether the sender accepts turns.
 * @property running the number of calls that the engine runs.
 * @property waiting the number of calls in the queue.
 * @property wait the estimated time until a new call would start.
 * @property pace the pace of the engine; null if the sender has not learned it.
 */
@Serializable
@SerialName("load")
data class GateStatus(
    val home: HomeId,
    val isReady: Boolean,
    val running: Int,
    val waiting: Int,
    val wait: Duration,
    val pace: ReportedPace? = null,
) : LastReply

/**
 * The pace of an engine, as its gate has learned it.
 *
 * @property tokenTime the time between two tokens of a turn that runs alone.
 * @property loadShare the share by which each further turn at the engine makes a token slower.
 * @property firstTime the time until the first event of a turn whose prompt the engine holds.
 * @property readTime the time to read one token of a prompt.
 * @property slowdown how much slower the engine is at present than usual; 1 if it is not.
 * @property tokens the typical number of tokens of a turn after its first event.
 * @property samples the number of turns that the pace was learned from.
 */
@Serializable
data class ReportedPace(
    val tokenTime: Duration = Duration.ZERO,
    val loadShare: Double = 0.0,
    val firstTime: Duration = Duration.ZERO,
    val readTime: Duration = Duration.ZERO,
    val slowdown: Double = 1.0,
    val tokens: Double = 0.0,
    val samples: Int = 0,
)

/**
 * Request of an entry to a host: take over the programs of [lost], unless that home is alive. Answered by
 * [HomeTakenOver] or [Declined].
 *
 * @property isVoluntary whether [lost] itself hands over its programs, so that the receiver need not check that it is
 * lost.
 */
@Serializable
@SerialName("take-home")
data class TakeOverHome(
    val lost: HomeEndpoint,
    @SerialName("isWilling") val isVoluntary: Boolean = false,
) : Message

/** Reply to [TakeOverHome]: [successor] serves the programs of [lost]. */
@Serializable
@SerialName("home-taken")
data class HomeTakenOver(
    val lost: HomeId,
    val successor: HomeEndpoint,
) : LastReply

/**
 * Request of a home to a retainer: store [records], and discard those up to number [committed]. Answered by [Done] or
 * [Declined].
 *
 * @property retainer the id of the retainer's data folder.
 */
@Serializable
@SerialName("keep")
data class KeepRecords(
    val retainer: RetainerId,
    val home: HomeId,
    val committed: Long,
    val records: List<LogRecord>,
) : Message

/**
 * Request of a home to a retainer: is it ready, and is [retainer] the id of its data folder? Answered by [Done] or
 * [Declined].
 */
@Serializable
@SerialName("retainer?")
data class CheckRetainer(
    val retainer: RetainerId,
) : Message

/**
 * Notification of a successor to a retainer: [home] has ended. The receiver accepts nothing further of [home]. Answered
 * by [SomeHomeRecords], any number of times, and [EndedHomeRecords].
 */
@Serializable
@SerialName("end-home")
data class EndHome(
    val retainer: RetainerId,
    val home: HomeId,
) : Message

/** Reply to [EndHome], which is not the last one: some records of [home] that the sender has stored. */
@Serializable
@SerialName("some-records-of")
data class SomeHomeRecords(
    val home: HomeId,
    val records: List<LogRecord>,
) : Message

/** Last reply to [EndHome]: the records of [home] that the sender has stored, without those that it has sent before. */
@Serializable
@SerialName("records-of")
data class EndedHomeRecords(
    val home: HomeId,
    val records: List<LogRecord>,
) : LastReply

/**
 * Request of a successor to a retainer: discard the records of [home], which are committed elsewhere. Answered by
 * [Done].
 */
@Serializable
@SerialName("drop-home")
data class DropHomeRecords(
    val home: HomeId,
) : Message
