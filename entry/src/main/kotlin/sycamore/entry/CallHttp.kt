package sycamore.entry

import org.http4k.core.Response
import sycamore.links.Begun
import sycamore.links.Call
import sycamore.links.Refused
import sycamore.model.CallId
import sycamore.model.ModelName
import sycamore.model.Service
import kotlin.time.Duration.Companion.seconds
import sycamore.programs.Request as Asked

/** Sends callers' calls to the homes of their programs, for [ChatHttp] and [ServiceHttp]. */
internal class CallHttp(
    private val daemon: EntryDaemon,
) {
    /** Sends [asked] of [service] and lets [respond] answer once the upstream has begun to. */
    fun run(
        request: CallerRequest,
        service: Service,
        headers: CallHeaders,
        asked: Asked,
        model: ModelName? = null,
        respond: (CallId, Replies, Begun) -> Response,
    ): Response {
        val call = call(request, service, headers, asked).copy(model = model)
        request.trace.call = call
        val replies = Replies(call.id, daemon.call(service, call), call.timeLeft + GRACE, request.trace)
        return when (val first = replies.next()) {
            is Begun -> respond(call.id, replies, first).named(first)
            is Refused -> Problem.response(first.refusal).named(first)
            else -> Problem.response(replies.outOfOrder(first))
        }
    }

    private fun Response.named(begun: Begun): Response =
        header(CallHeaders.PROGRAM, begun.program.toString()).header(CallHeaders.TURN, begun.turn.toString())

    private fun Response.named(refused: Refused): Response =
        refused.program?.let { header(CallHeaders.PROGRAM, it.toString()) } ?: this

    private fun call(
        request: CallerRequest,
        service: Service,
        headers: CallHeaders,
        asked: Asked,
    ): Call {
        val caller = request.caller.name
        return Call(
            id = headers.key?.let { CallId.fromKey(caller, headers.program, it) } ?: CallId.random(),
            caller = caller,
            service = service.name,
            program = headers.program,
            parent = headers.parent,
            turn = headers.turn,
            request = asked,
            append = headers.append,
            released = 0,
            releasedBody = ByteArray(0),
            timeLeft = service.contract(asked.method, asked.path).deadline,
            generation = request.configuration.generation,
            mayRepeat = headers.key != null,
        )
    }

    private companion object {
        /** How much longer than its deadline a call's home may take to say that the deadline has passed. */
        val GRACE = 5.seconds
    }
}
