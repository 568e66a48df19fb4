package sycamore.host

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import sycamore.links.Begun
import sycamore.links.Forward
import sycamore.links.Message
import sycamore.links.Part
import sycamore.links.Whole
import sycamore.model.Service
import sycamore.model.ServiceKind
import sycamore.model.Upstream
import sycamore.programs.Answer

/** Sends the calls of homes to the upstream beside this host. */
internal class Gate(
    private val engine: CallUpstream,
    private val service: CallUpstream,
) {
    /** Runs [forward] on [upstream] of [of] and yields its answer. */
    fun run(
        of: Service,
        upstream: Upstream,
        forward: Forward,
    ): Flow<Message> =
        flow {
            val call = if (of.kind == ServiceKind.MODEL) engine else service
            var offset = 0L
            call(upstream, forward).collect { event ->
                when (event) {
                    is UpstreamEvent.Head -> {
                        emit(Begun(forward.id, forward.program, turn = 0, event.status, event.contentType))
                    }
                    is UpstreamEvent.Bytes -> {
                        emit(Part(forward.id, offset, event.bytes))
                        offset += event.bytes.size
                    }
                    is UpstreamEvent.End -> emit(whole(forward, offset, event))
                }
            }
        }

    private fun whole(
        forward: Forward,
        length: Long,
        end: UpstreamEvent.End,
    ): Whole {
        val answer = Answer(end.status, end.contentType, ByteArray(0), end.toolCalls, end.finishReason, end.usage)
        return Whole(forward.id, length, answer)
    }
}
