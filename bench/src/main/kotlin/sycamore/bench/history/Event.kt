package sycamore.bench.history

import sycamore.model.CallId
import sycamore.model.Generation
import sycamore.model.HostName
import sycamore.programs.ChatMessage
import sycamore.programs.Outcome
import kotlin.time.Duration

/** The name that a simulated caller gives to its program, as the id is not known before the first answer. */
@JvmInline
internal value class Tag(
    val value: String,
) {
    override fun toString(): String = value
}

/**
 * An observation of a caller, an upstream or an operator.
 *
 * The names of the event classes and their properties are part of the command's output.
 *
 * @property at the time since the start of the run.
 */
internal sealed interface Event {
    val at: Duration
}

/** A caller began a program. For a sub-agent, [root] is the program whose [budget] in tokens it shares. */
internal data class ProgramBegan(
    override val at: Duration,
    val tag: Tag,
    val root: Tag,
    val budget: Long,
) : Event

/** A caller ended or abandoned a program, of which no call is in progress any more. */
internal data class ProgramOver(
    override val at: Duration,
    val tag: Tag,
) : Event

/** A caller sent attempt [attempt] of a call via [entry]. [text] is the message that the call adds to the history. */
internal data class CallSent(
    override val at: Duration,
    val tag: Tag,
    val turn: Int,
    val call: CallId,
    val attempt: Int,
    val entry: HostName,
    val text: String,
    val isChat: Boolean,
) : Event

/** A caller received the complete answer to its attempt. */
internal data class CallAnswered(
    override val at: Duration,
    val tag: Tag,
    val turn: Int,
    val call: CallId,
    val attempt: Int,
    val text: String,
) : Event

/** A caller received a refusal of its attempt. */
internal data class CallRefused(
    override val at: Duration,
    val tag: Tag,
    val turn: Int,
    val call: CallId,
    val attempt: Int,
    val outcome: Outcome,
    val detail: String,
) : Event

/** The answer to a caller's attempt was interrupted or timed out. */
internal data class CallBroke(
    override val at: Duration,
    val tag: Tag,
    val turn: Int,
    val call: CallId,
    val attempt: Int,
    val detail: String,
) : Event

/** A model engine began to compute an answer. */
internal data class EngineStarted(
    override val at: Duration,
    val host: HostName,
    val call: CallId,
    val prompt: List<ChatMessage>,
    val promptTokens: Long,
) : Event {
    override fun toString(): String =
        "EngineStarted(at=$at, host=$host, call=$call, messages=${prompt.size}, promptTokens=$promptTokens)"
}

/** A model engine computed [tokens] tokens of an answer. [text] is the answer, or the part computed so far. */
internal data class EngineFinished(
    override val at: Duration,
    val host: HostName,
    val call: CallId,
    val text: String,
    val tokens: Long,
) : Event

/** A plain service received a call, which it may carry out much later. */
internal data class OrderArrived(
    override val at: Duration,
    val host: HostName,
    val call: CallId,
) : Event

/** A plain service carried a call out. */
internal data class OrderRan(
    override val at: Duration,
    val host: HostName,
    val call: CallId,
    val body: String,
    val answer: String,
) : Event

/** At the end of the run, the engine beside [host] still held cache entries of the program [tag]. */
internal data class CacheLeft(
    override val at: Duration,
    val host: HostName,
    val tag: Tag,
) : Event

/** An operator published a configuration, and the write was accepted. */
internal data class Published(
    override val at: Duration,
    val generation: Generation,
) : Event

/** The daemon of [host] reported the generation in force. [run] counts the restarts of that host. */
internal data class InForceSeen(
    override val at: Duration,
    val host: HostName,
    val run: Int,
    val generation: Generation,
) : Event

/** A daemon received a request for a planned stop. */
internal data class StopBegan(
    override val at: Duration,
    val host: HostName,
) : Event

/** A daemon ended after a planned stop. */
internal data class StopEnded(
    override val at: Duration,
    val host: HostName,
) : Event

/** A fault began. [hosts] are the affected hosts, or empty if all are. Planned stops and publishes are not faults. */
internal data class FaultBegan(
    override val at: Duration,
    val name: String,
    val hosts: Set<HostName>,
) : Event

/** The fault [name] on [hosts] ended. */
internal data class FaultEnded(
    override val at: Duration,
    val name: String,
    val hosts: Set<HostName>,
) : Event
