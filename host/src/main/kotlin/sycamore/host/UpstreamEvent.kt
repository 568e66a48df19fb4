package sycamore.host

import kotlinx.coroutines.flow.Flow
import sycamore.links.Forward
import sycamore.model.Upstream
import sycamore.programs.Usage

/** What an upstream answers, in this order: one head, any number of bytes, one end. */
sealed interface UpstreamEvent {
    /** The answer begins. */
    data class Head(
        val status: Int,
        val contentType: String,
    ) : UpstreamEvent

    /** The next bytes of the answer: text of a chat completion as UTF-8, or body of a plain call. */
    class Bytes(
        val bytes: ByteArray,
    ) : UpstreamEvent

    /** The answer is whole. */
    data class End(
        val status: Int,
        val contentType: String,
        val toolCalls: String? = null,
        val finishReason: String = "",
        val usage: Usage = Usage(),
    ) : UpstreamEvent
}

/** Sends a call to an upstream and yields its answer. Fails with [java.io.IOException] when the upstream breaks off. */
typealias CallUpstream = (upstream: Upstream, forward: Forward) -> Flow<UpstreamEvent>
