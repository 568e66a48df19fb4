package sycamore.bench.history

import sycamore.model.CallId
import sycamore.model.Generation
import sycamore.model.HostName
import sycamore.programs.ChatMessage
import sycamore.programs.Outcome
import kotlin.time.Duration

/** The name that the caller itself gave to a program, before any id is known. */
@JvmInline
internal value class Tag(
    val value: String,
) {
    override fun toString(): String = value
}

/** Something that a caller, an upstream or an operator saw. [at] counts from the start of the run. */
internal sealed interface Event {
    val at: Duration
}

/** A caller began a program. A sub-agent names the [root] whose [budget] in tokens it shares. */
internal data class ProgramBegan(
    override val at: Duration,
    val tag: Tag,
    val root: Tag,
    val budget: Long,
) : Event

/** A caller ended a program, or gave it up; its calls have all ended. */
internal data class ProgramOver(
    override val at: Duration,
    val tag: Tag,
) : Event

/** A caller sent attempt [attempt] of a call, by [entry]. [text] is what the call adds to the history. */
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

/** A caller received the whole answer to its attempt. */
internal data class CallAnswered(
    override val at: Duration,
    val tag: Tag,
    val turn: Int,
    val call: CallId,
    val attempt: Int,
    val text: String,
) : Event

/** A caller was refused. */
internal data class CallRefused(
    override val at: Duration,
    val tag: Tag,
    val turn: Int,
    val call: CallId,
    val attempt: Int,
    val outcome: Outcome,
    val detail: String,
) : Event

/** A caller's answer broke off. */
internal data class CallBroke(
    override val at: Duration,
    val tag: Tag,
    val turn: Int,
    val call: CallId,
    val attempt: Int,
    val detail: String,
) : Event

/** A model engine began to compute. */
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

/** A model engine computed [tokens] of an answer whose whole text is [text], or as much of it as it came to. */
internal data class EngineFinished(
    override val at: Duration,
    val host: HostName,
    val call: CallId,
    val text: String,
    val tokens: Long,
) : Event

/** A call arrived at a plain service, which may carry it out much later. */
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

/** At the end of the run, the engine beside [host] holds cache of [tag]. */
internal data class CacheLeft(
    override val at: Duration,
    val host: HostName,
    val tag: Tag,
) : Event

/** An operator's publish was accepted. */
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

/** A daemon was told to stop in a planned way. */
internal data class StopBegan(
    override val at: Duration,
    val host: HostName,
) : Event

/** A daemon that was told to stop has ended. */
internal data class StopEnded(
    override val at: Duration,
    val host: HostName,
) : Event

/** A fault began; planned stops and publishes are none. [hosts] are those that it touches; empty for all. */
internal data class FaultBegan(
    override val at: Duration,
    val name: String,
    val hosts: Set<HostName>,
) : Event

/** The fault of that [name] on those [hosts] ended. */
internal data class FaultEnded(
    override val at: Duration,
    val name: String,
    val hosts: Set<HostName>,
) : Event
