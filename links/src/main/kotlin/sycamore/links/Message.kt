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

/** What the system's own processes say to each other. Each message is answered by a stream of messages. */
@Serializable
sealed interface Message

/** A reply that ends its exchange. */
sealed interface LastReply : Message

/**
 * Entry to home: a caller's call.
 *
 * @property program null starts a program, as a sub-agent of [parent] unless that is null.
 * @property turn the place of the call within the program, from 1; null takes the next.
 * @property append whether a chat body holds only the new messages.
 * @property released bytes of the answer that the caller has already got.
 * @property releasedBody those bytes, for a home that has to make an engine go on from them.
 * @property timeLeft until the caller's deadline.
 * @property isStart whether this call began [program], whose home was lost since.
 * @property model what a chat completion asks for; null for a plain call.
 * @property mayRepeat whether [id] may have been sent before; false for a call that carries no idempotency key.
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

/** Proves that the sender serves the programs of [home]. A gate refuses homes that were taken over. */
@Serializable
data class Fence(
    val home: HomeId,
    val epoch: Epoch,
)

/**
 * Home to gate: send this to the upstream.
 *
 * @property isNew whether this is the first call of a program that no other program started.
 * @property root the program that started this one, directly or through others; null for the program itself.
 * @property released bytes of a chat's answer that are there already. The body then ends with them as a message of the
 * assistant, and its bound of tokens still counts the whole answer.
 * @property age how long ago the home accepted the call.
 * @property gate the run of the gate whose ledger has to know or learn the call; null for any.
 * @property attachOnly whether the call may not begin, only go on.
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

/** First reply to [Call] and [Forward]: the upstream has begun to answer. */
@Serializable
@SerialName("begun")
data class Begun(
    val id: CallId,
    val program: ProgramId,
    val turn: Int,
    val status: Int,
    val contentType: String,
) : Message

/** Bytes of the answer from [offset] on. */
@Serializable
@SerialName("part")
data class Part(
    val id: CallId,
    val offset: Long,
    val bytes: ByteArray,
) : Message

/** Last reply: the answer is whole and [length] bytes long. [answer] has an empty body, since the parts carried it. */
@Serializable
@SerialName("whole")
data class Whole(
    val id: CallId,
    val length: Long,
    val answer: Answer,
) : Message

/** Last reply: there is no answer. */
@Serializable
@SerialName("refused")
data class Refused(
    val id: CallId,
    val refusal: Refusal,
    val program: ProgramId? = null,
) : Message

/** Last reply to [Call]: the program lives elsewhere. */
@Serializable
@SerialName("elsewhere")
data class Elsewhere(
    val id: CallId,
    val home: HomeId,
) : Message

/** Anyone to anyone: which configuration is in force there? Answered by [ConfigurationText] if it is newer. */
@Serializable
@SerialName("configuration?")
data class AskConfiguration(
    val above: Generation,
) : Message

/** A published configuration as JSON text. */
@Serializable
@SerialName("configuration")
data class ConfigurationText(
    val generation: Generation,
    val text: String,
) : Message

/** Caller's entry to home: end the program. Answered by [Done] or [Refused]. */
@Serializable
@SerialName("end")
data class EndProgram(
    val program: ProgramId,
    val caller: CallerName,
) : Message

/** The request was carried out. */
@Serializable
@SerialName("done")
data object Done : LastReply

/** The sender does not know this message; its version is older or newer. */
@Serializable
@SerialName("unsupported")
data object Unsupported : LastReply

/** A host tells its peers about itself, and about the upstream beside it if there is one. */
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

/** Which hosts does the receiver serve as home for, and how is it? Answered by [HostStatus]. */
@Serializable
@SerialName("status?")
data class AskStatus(
    val from: HostName,
) : Message
