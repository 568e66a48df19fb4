package sycamore.entry

import org.http4k.core.Response
import sycamore.links.Begun
import sycamore.links.Call
import sycamore.links.Refused
import sycamore.model.CallId
import sycamore.model.ModelName
import sycamore.model.Service
import kotlin.time.Duration.Companion.seconds
import sycamore.programs.Request as CallRequest

/** Sends callers' calls to the homes of their programs, for [ChatHttp] and [ServiceHttp]. */
internal class CallHttp(
    private val daemon: EntryDaemon,
) {
    /** Sends [callRequest] to [service]. [respond] builds the response once the upstream has begun to answer. */
    fun forward(
        request: CallerRequest,
        service: Service,
        headers: CallHeaders,
        callRequest: CallRequest,
        model: ModelName? = null,
        respond: (CallId, ReplyReader, Begun) -> Response,
    ): Response {
        val call = call(request, service, headers, callRequest).copy(model = model)
        request.trace.call = call
        val replies = ReplyReader(call.id, daemon.call(service, call), call.timeLeft + DEADLINE_GRACE, request.trace)
        return when (val first = replies.next()) {
            is Begun -> respond(call.id, replies, first).withProgram(first)
            is Refused -> Problem.response(first.refusal).withProgram(first)
            else -> Problem.response(replies.outOfOrder(first))
        }
    }

    private fun Response.withProgram(begun: Begun): Response =
        header(CallHeaders.PROGRAM, begun.program.toString()).header(CallHeaders.TURN, begun.turn.toString())

    private fun Response.withProgram(refused: Refused): Response =
        refused.program?.let { header(CallHeaders.PROGRAM, it.toString()) } ?: this

    private fun call(
        request: CallerRequest,
        service: Service,
        headers: CallHeaders,
        callRequest: CallRequest,
    ): Call {
        val caller = request.caller.name
        return Call(
            id = headers.key?.let { CallId.fromKey(caller, headers.program, it) } ?: CallId.random(),
            caller = caller,
            service = service.name,
            program = headers.program,
            parent = headers.parent,
            turn = headers.turn,
            request = callRequest,
            append = headers.append,
            released = 0,
            releasedBody = ByteArray(0),
            timeLeft = service.contract(callRequest.method, callRequest.path).deadline,
            generation = request.configuration.generation,
            mayRepeat = headers.key != null,
        )
    }

    private companion object {
        /** Time after a call's deadline within which its home has to report that the deadline has passed. */
        val DEADLINE_GRACE = 5.seconds
    }
}
