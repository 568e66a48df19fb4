package sycamore.host

import kotlinx.coroutines.flow.Flow
import sycamore.links.Forward
import sycamore.model.Upstream
import sycamore.programs.Usage

/** An event in the answer of an upstream. An answer has one [Head], then any number of [Bytes], then one [End]. */
sealed interface UpstreamEvent {
    /** The beginning of the answer. */
    data class Head(
        val status: Int,
        val contentType: String,
    ) : UpstreamEvent

    /** The next bytes of the answer: text of a chat completion as UTF-8, or body of a plain call. */
    class Bytes(
        val bytes: ByteArray,
    ) : UpstreamEvent

    /** The end of a complete answer. */
    data class End(
        val status: Int,
        val contentType: String,
        val toolCalls: String? = null,
        val finishReason: String = "",
        val usage: Usage = Usage(),
    ) : UpstreamEvent
}

/** Sends a call to an upstream and emits its answer. Throws [java.io.IOException] if the upstream aborts the answer. */
typealias CallUpstream = (upstream: Upstream, forward: Forward) -> Flow<UpstreamEvent>
