package sycamore.links

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sycamore.decisions.UpstreamState
import sycamore.model.CallId
import sycamore.model.CallerName
import sycamore.model.Epoch
import sycamore.model.Generation
import sycamore.model.HomeId
import sycamore.model.Host
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.ModelName
import sycamore.model.ProgramId
import sycamore.model.ServiceName
import sycamore.programs.Answer
import sycamore.programs.Refusal
import sycamore.programs.Request
import kotlin.time.Duration

/** A message between the processes of the system. Each message is answered by a stream of messages. */
@Serializable
sealed interface Message

/** A reply after which an exchange has no further replies. */
sealed interface LastReply : Message

/**
 * Request of an entry to a home: run a caller's call.
 *
 * @property program the program that the call belongs to; null starts a program, as a sub-agent of [parent] unless that
 * is null.
 * @property turn the number of the call within the program, from 1; null selects the next number.
 * @property append whether the body of a chat completion holds only the messages that are new in this call.
 * @property released the number of bytes of the answer that the caller has received already.
 * @property releasedBody these bytes, for a home that has to let an engine continue the answer after them.
 * @property timeLeft the time until the caller's deadline.
 * @property generation the configuration that the sender uses.
 * @property isStart whether this call started [program], whose home was lost since.
 * @property model the model that a chat completion requests; null for a plain call.
 * @property mayRepeat whether [id] may have been sent before; false for a call without an idempotency key.
 */
@Serializable
@SerialName("call")
data class Call(
    val id: CallId,
    val caller: CallerName,
    val service: ServiceName,
    val program: ProgramId?,
    val parent: ProgramId?,
    val turn: Int?,
    val request: Request,
    val append: Boolean,
    val released: Long,
    val releasedBody: ByteArray,
    val timeLeft: Duration,
    val generation: Generation,
    val isStart: Boolean = false,
    val mayRepeat: Boolean = true,
    val model: ModelName? = null,
) : Message

/**
 * The fencing token of a home, by which a gate checks that the sender still serves the programs of [home]. A gate
 * refuses homes that were taken over.
 */
@Serializable
data class Fence(
    val home: HomeId,
    val epoch: Epoch,
)

/**
 * Request of a home to a gate: send a call to the upstream.
 *
 * @property idempotent whether the call may run more than once.
 * @property released the number of bytes of a chat's answer that the home has already. The request's body then ends
 * with them as a message of the assistant, and its limit of tokens still counts the complete answer.
 * @property isNew whether this is the first call of a root program.
 * @property root the root program that started this one, directly or through others; null if this one is a root itself.
 * @property age the time since the home accepted the call.
 * @property gate the incarnation of the gate whose ledger has to contain or record the call; null for any.
 * @property attachOnly whether the gate may only continue the call if it has begun already, and must not start it.
 */
@Serializable
@SerialName("forward")
data class Forward(
    val id: CallId,
    val fence: Fence,
    val program: ProgramId,
    val caller: CallerName,
    val service: ServiceName,
    val request: Request,
    val idempotent: Boolean,
    val promptTokens: Long,
    val released: Long,
    val timeLeft: Duration,
    val isNew: Boolean = false,
    val root: ProgramId? = null,
    val age: Duration = Duration.ZERO,
    val gate: Incarnation? = null,
    val attachOnly: Boolean = false,
) : Message

/** First reply to [Call] and [Forward]: the head of the upstream's answer. */
@Serializable
@SerialName("begun")
data class Begun(
    val id: CallId,
    val program: ProgramId,
    val turn: Int,
    val status: Int,
    val contentType: String,
) : Message

/** Reply to [Call] and [Forward]: bytes of the answer, beginning at [offset]. */
@Serializable
@SerialName("part")
data class Part(
    val id: CallId,
    val offset: Long,
    val bytes: ByteArray,
) : Message

/**
 * Last reply to [Call] and [Forward]: the answer is complete.
 *
 * @property length the length of the answer in bytes.
 * @property answer the answer without its body, which the [Part] messages carried.
 */
@Serializable
@SerialName("whole")
data class Whole(
    val id: CallId,
    val length: Long,
    val answer: Answer,
) : Message

/** Last reply: the request was refused or has failed, and there is no answer. */
@Serializable
@SerialName("refused")
data class Refused(
    val id: CallId,
    val refusal: Refusal,
    val program: ProgramId? = null,
) : Message

/** Last reply to [Call] and requests about a program: [home] serves the program, not the sender. */
@Serializable
@SerialName("elsewhere")
data class Elsewhere(
    val id: CallId,
    val home: HomeId,
) : Message

/**
 * Request for the configuration in force at the receiver. Answered by [ConfigurationText] if it is newer than [above].
 */
@Serializable
@SerialName("configuration?")
data class GetConfiguration(
    val above: Generation,
) : Message

/** Reply to [GetConfiguration]: a published configuration as JSON text. */
@Serializable
@SerialName("configuration")
data class ConfigurationText(
    val generation: Generation,
    val text: String,
) : Message

/** Request of an entry to a home: end a program of [caller]. Answered by [Done] or [Refused]. */
@Serializable
@SerialName("end")
data class EndProgram(
    val program: ProgramId,
    val caller: CallerName,
) : Message

/** Reply: the request was carried out. */
@Serializable
@SerialName("done")
data object Done : LastReply

/** Reply: the sender does not know the message, since its version is older or newer. */
@Serializable
@SerialName("unsupported")
data object Unsupported : LastReply

/** Reply to [GetHostStatus]: the state of a daemon, its present home, and the upstream beside it, if there are any. */
@Serializable
@SerialName("status")
data class HostStatus(
    val host: Host,
    val leaving: Boolean,
    val queued: Int,
    val running: Int,
    val generation: Generation,
    val home: HomeId? = null,
    val upstream: UpstreamState? = null,
) : Message

/** Request for the state of the receiver and its present home. Answered by [HostStatus]. */
@Serializable
@SerialName("status?")
data class GetHostStatus(
    val from: HostName,
) : Message
