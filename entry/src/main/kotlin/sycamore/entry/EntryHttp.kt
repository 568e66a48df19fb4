package sycamore.entry

import kotlinx.coroutines.CoroutineScope
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import sycamore.daemon.InForce
import sycamore.links.Begun
import sycamore.links.Call
import sycamore.links.Part
import sycamore.links.Refused
import sycamore.links.Whole
import sycamore.model.CallId
import sycamore.model.Caller
import sycamore.model.Configuration
import sycamore.model.ModelName
import sycamore.model.ProgramId
import sycamore.model.Service
import sycamore.model.ServiceKind
import sycamore.model.ServiceName
import sycamore.programs.ChatBody
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import java.io.ByteArrayOutputStream
import kotlin.time.Clock
import sycamore.programs.Request as Asked

/** The callers' interface over HTTP. */
internal class EntryHttp(
    private val scope: CoroutineScope,
    private val inForce: InForce,
    private val daemon: EntryDaemon,
    private val clock: Clock = Clock.System,
) {
    /** Chat completions at `/v1/chat/completions`, plain services at `/services/<name>/`. */
    val handler: RoutingHttpHandler =
        routes(
            CHAT_PATH bind Method.POST to { request: Request -> authenticated(request, ::chat) },
            "/services/{name}/{path:.*}" bind { request: Request -> authenticated(request, ::plain) },
        )

    private fun authenticated(
        request: Request,
        run: (Request, Configuration, Caller) -> Response,
    ): Response {
        val configuration =
            inForce.configuration.value ?: return refuse(UNAVAILABLE, "no configuration is in force yet")
        val caller = Accounts.of(request, configuration) ?: return refuse(UNAUTHORIZED, "expected a valid API key")
        return run(request, configuration, caller)
    }

    private fun chat(
        request: Request,
        configuration: Configuration,
        caller: Caller,
    ): Response {
        val bytes = request.body.stream.readBytes()
        val body = ChatBody.parse(bytes) ?: return refuse(BAD_REQUEST, "expected a chat completion's JSON body")
        val service =
            serviceFor(body.model, configuration) ?: return refuse(NOT_FOUND, "no service runs model '${body.model}'")
        val call = call(request, caller, service, Asked("POST", CHAT_PATH, body = bytes))
        val replies = Replies(scope, daemon.call(service, call))
        return answer(replies) { begun ->
            val answer = ChatAnswer(call.id.value, body.model, clock.now().epochSeconds)
            if (body.isStream) streamed(replies, begun, answer) else whole(replies, answer)
        }
    }

    private fun serviceFor(
        model: String,
        configuration: Configuration,
    ): Service? =
        configuration.services.firstOrNull { service ->
            service.kind == ServiceKind.MODEL && service.upstreams.any { ModelName(model) in it.models }
        }

    private fun plain(
        request: Request,
        configuration: Configuration,
        caller: Caller,
    ): Response {
        val name = request.path("name").orEmpty()
        val service =
            configuration.service(ServiceName(name))?.takeIf { it.kind == ServiceKind.SERVICE }
                ?: return refuse(NOT_FOUND, "no plain service is called '$name'")
        val path = "/" + request.path("path").orEmpty()
        val type = request.header("content-type") ?: "application/octet-stream"
        val asked = Asked(request.method.name, path, type, request.body.stream.readBytes())
        val replies = Replies(scope, daemon.call(service, call(request, caller, service, asked)))
        return answer(replies) { begun ->
            Response(Status(begun.status, null))
                .header("content-type", begun.contentType)
                .body(ReplyStream(replies) { (it as? Part)?.bytes ?: ByteArray(0) })
        }
    }

    private fun call(
        request: Request,
        caller: Caller,
        service: Service,
        asked: Asked,
    ): Call {
        val program = request.header("sycamore-program")?.let(ProgramId::parse)
        val key = request.header("idempotency-key")
        return Call(
            id = key?.let { CallId.of(caller.name, program, it) } ?: CallId.random(),
            caller = caller.name,
            service = service.name,
            program = program,
            parent = request.header("sycamore-parent")?.let(ProgramId::parse),
            turn = request.header("sycamore-turn")?.toIntOrNull(),
            request = asked,
            append = request.header("sycamore-append") == "true",
            released = 0,
            releasedBody = ByteArray(0),
            timeLeft = service.contract(asked.method, asked.path).deadline,
            generation = inForce.generation,
        )
    }

    private fun answer(
        replies: Replies,
        respond: (Begun) -> Response,
    ): Response =
        when (val first = replies.next()) {
            is Begun ->
                respond(first)
                    .header("sycamore-program", first.program.toString())
                    .header("sycamore-turn", first.turn.toString())
            is Refused -> Problem.response(first.refusal)
            else -> refuse(UNAVAILABLE, "the home did not answer", Outcome.UNKNOWN)
        }

    private fun streamed(
        replies: Replies,
        begun: Begun,
        answer: ChatAnswer,
    ): Response =
        Response(Status(begun.status, null))
            .header("content-type", "text/event-stream")
            .body(ReplyStream(replies, answer::event))

    private fun whole(
        replies: Replies,
        answer: ChatAnswer,
    ): Response {
        val text = ByteArrayOutputStream()
        while (true) {
            when (val reply = replies.next()) {
                is Part -> text.write(reply.bytes)
                is Whole -> {
                    return Response(Status(reply.answer.status, null))
                        .header("content-type", "application/json")
                        .body(answer.whole(text.toByteArray().decodeToString(), reply.answer))
                }
                is Refused -> return Problem.response(reply.refusal)
                else -> return refuse(UNAVAILABLE, "the answer broke off", Outcome.UNKNOWN)
            }
        }
    }

    private fun refuse(
        status: Int,
        detail: String,
        outcome: Outcome = Outcome.NOT_RUN,
    ): Response = Problem.response(Refusal(outcome, status, detail))

    private companion object {
        const val CHAT_PATH = "/v1/chat/completions"
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
    }
}
