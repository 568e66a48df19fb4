package sycamore.entry

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.path
import sycamore.links.Done
import sycamore.links.EndProgram
import sycamore.links.GetProgram
import sycamore.links.Message
import sycamore.links.ProgramView
import sycamore.links.Refused
import sycamore.links.StartProgram
import sycamore.model.CallId
import sycamore.model.ProgramId
import sycamore.model.Service
import sycamore.model.ServiceName
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import kotlin.time.Duration.Companion.seconds

/** Starts, shows and ends programs. */
internal class ProgramHttp(
    private val daemon: EntryDaemon,
) {
    /** Starts a program without making a call. */
    fun start(request: CallerRequest): Response =
        request.withHeaders(setOf(CallHeaders.PARENT)) { headers ->
            request.withBody { body -> start(request, headers, body) }
        }

    private fun start(
        request: CallerRequest,
        headers: CallHeaders,
        body: ByteArray,
    ): Response {
        val name =
            serviceNameIn(body)
                ?: return Problem.notRun(HttpStatus.BAD_REQUEST, "expected a body such as $EXAMPLE_BODY")
        val service =
            request.configuration.service(ServiceName(name))
                ?: return Problem.notRun(HttpStatus.NOT_FOUND, unknownService(name, request))
        return when (
            val reply =
                firstReply(
                    daemon.start(service, message(request, headers, service)),
                    Outcome.UNKNOWN,
                )
        ) {
            is ProgramView -> programResponse(Status.CREATED, reply).header("location", "$PATH/${reply.program}")
            else -> refusalResponse(reply)
        }
    }

    private fun message(
        request: CallerRequest,
        headers: CallHeaders,
        service: Service,
    ): StartProgram {
        val caller = request.caller.name
        val id = headers.key?.let { CallId.fromKey(caller, headers.parent, it) } ?: CallId.random()
        return StartProgram(id, caller, service.name, headers.parent)
    }

    /** Shows the program that the path names. */
    fun show(request: CallerRequest): Response =
        withProgram(request) { id ->
            val reply = firstReply(daemon.ask(id, GetProgram(id, request.caller.name)), Outcome.NOT_RUN)
            if (reply is ProgramView) programResponse(Status.OK, reply) else refusalResponse(reply)
        }

    /** Ends the program that the path names. */
    fun end(request: CallerRequest): Response =
        withProgram(request) { id ->
            val reply = firstReply(daemon.ask(id, EndProgram(id, request.caller.name)), Outcome.UNKNOWN)
            if (reply is Done) Response(Status.NO_CONTENT) else refusalResponse(reply)
        }

    private fun withProgram(
        request: CallerRequest,
        use: (ProgramId) -> Response,
    ): Response =
        request.withHeaders(emptySet()) {
            val text = request.http.path("id").orEmpty()
            val id = ProgramId.parse(text)
            if (id ==
                null
            ) {
                Problem.notRun(
                    HttpStatus.NOT_FOUND,
                    "found program '$text', expected place.host.incarnation.number",
                )
            } else {
                use(id)
            }
        }

    private fun programResponse(
        status: Status,
        view: ProgramView,
    ): Response =
        Response(status)
            .header("content-type", "application/json")
            .header(CallHeaders.PROGRAM, view.program.toString())
            .body(ProgramBody.encode(view))

    private fun refusalResponse(reply: Message): Response =
        when (reply) {
            is Refused -> Problem.response(reply.refusal)
            else -> Problem.response(badGateway(Outcome.UNKNOWN, "the home sent ${reply::class.simpleName}"))
        }

    /** Returns the only reply of [replies], or a [Refused] with the outcome [onLoss] when none arrives in time. */
    private fun firstReply(
        replies: Flow<Message>,
        onLoss: Outcome,
    ): Message =
        try {
            runBlocking { withTimeoutOrNull(REPLY_TIMEOUT) { replies.firstOrNull() } }
                ?: Refused(CallId.random(), badGateway(onLoss, "the home did not answer within $REPLY_TIMEOUT"))
        } catch (e: Exception) {
            Refused(CallId.random(), badGateway(onLoss, "the home did not answer: ${e.message}"))
        }

    private fun badGateway(
        outcome: Outcome,
        detail: String,
    ) = Refusal(outcome, HttpStatus.BAD_GATEWAY, detail)

    private fun serviceNameIn(body: ByteArray): String? =
        try {
            val fields = Json.parseToJsonElement(body.decodeToString()) as? JsonObject
            (fields?.get("service") as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull
        } catch (_: SerializationException) {
            null
        }

    private fun unknownService(
        name: String,
        request: CallerRequest,
    ) = "found service '$name', expected one of ${request.configuration.services.joinToString { "'${it.name}'" }}"

    companion object {
        /** The path of all programs. */
        const val PATH = "/v1/programs"

        private const val EXAMPLE_BODY = "{\"service\":\"order-app\"}"
        private val REPLY_TIMEOUT = 10.seconds
    }
}
