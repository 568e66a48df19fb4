package sycamore.entry

import org.http4k.core.Response
import org.http4k.core.Status
import sycamore.links.Begun
import sycamore.links.Part
import sycamore.links.Refused
import sycamore.links.Whole
import sycamore.model.CallId
import sycamore.model.Configuration
import sycamore.model.ModelName
import sycamore.model.Service
import sycamore.model.ServiceKind
import sycamore.programs.ChatBody
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import java.io.ByteArrayOutputStream
import kotlin.time.Clock
import sycamore.programs.Request as CallRequest

/** Answers chat completions, either with one JSON object or with server-sent events. */
internal class ChatHttp(
    private val calls: CallHttp,
    private val clock: Clock,
) {
    /** Handles the chat completion in [request]. */
    fun complete(request: CallerRequest): Response =
        request.withHeaders(CallHeaders.allowedOnChat) { headers ->
            request.withBody { bytes ->
                when (val checked = ChatCheck.read(bytes)) {
                    is ChatBodyResult.Valid -> forward(request, headers, checked.body, bytes)
                    is ChatBodyResult.Invalid ->
                        Problem.notRun(HttpStatus.BAD_REQUEST, checked.findings.joinToString("; "))
                }
            }
        }

    private fun forward(
        request: CallerRequest,
        headers: CallHeaders,
        body: ChatBody,
        bytes: ByteArray,
    ): Response {
        val service =
            serviceOf(body.model, request.configuration)
                ?: return Problem.notRun(HttpStatus.NOT_FOUND, unknownModel(body.model, request.configuration))
        val chatRequest = CallRequest("POST", PATH, body = bytes)
        return calls.forward(request, service, headers, chatRequest, ModelName(body.model)) { id, replies, begun ->
            answer(id, body, replies, begun)
        }
    }

    private fun answer(
        id: CallId,
        body: ChatBody,
        replies: ReplyReader,
        begun: Begun,
    ): Response {
        val encoder = ChatReplyEncoder(id.value, body.model, clock.now().epochSeconds, body.includesUsage)
        return when {
            begun.status !in SUCCESS -> engineError(replies)
            body.isStream -> stream(replies, encoder)
            else -> completion(replies, encoder)
        }
    }

    private fun stream(
        replies: ReplyReader,
        encoder: ChatReplyEncoder,
    ): Response {
        val head =
            Response(Status.OK)
                .header("content-type", "text/event-stream")
                .header("cache-control", "no-cache")
        return ReplyStream.respond(head, replies, encoder)
    }

    private fun completion(
        replies: ReplyReader,
        encoder: ChatReplyEncoder,
    ): Response =
        collect(replies) { text, whole ->
            Response(Status.OK)
                .header("content-type", "application/json")
                .body(encoder.encodeCompletion(text, whole.answer))
        }

    private fun engineError(replies: ReplyReader): Response =
        collect(replies) { text, whole ->
            val status = whole.answer.status.takeIf { it in CLIENT_ERRORS } ?: HttpStatus.BAD_GATEWAY
            val detail = "the engine answered with status ${whole.answer.status}: ${text.take(MAX_DETAIL_CHARS)}"
            Problem.response(Refusal(Outcome.FAILED, status, detail))
        }

    private fun collect(
        replies: ReplyReader,
        respond: (text: String, Whole) -> Response,
    ): Response {
        val text = ByteArrayOutputStream()
        while (true) {
            when (val reply = replies.next()) {
                is Part -> text.write(reply.bytes)
                is Whole -> return respond(text.toByteArray().decodeToString(), reply)
                is Refused -> return Problem.response(reply.refusal)
                else -> return Problem.response(replies.outOfOrder(reply))
            }
        }
    }

    private fun serviceOf(
        model: String,
        configuration: Configuration,
    ): Service? =
        configuration.services.firstOrNull { service ->
            service.kind == ServiceKind.MODEL && service.upstreams.any { ModelName(model) in it.models }
        }

    private fun unknownModel(
        model: String,
        configuration: Configuration,
    ): String = "found model '$model', expected one of ${ModelsHttp.names(configuration).joinToString { "'$it'" }}"

    companion object {
        /** The path of chat completions, for callers of an entry as well as for calls of an engine. */
        const val PATH = "/v1/chat/completions"

        private const val MAX_DETAIL_CHARS = 500
        private val SUCCESS = 200..299
        private val CLIENT_ERRORS = 400..499
    }
}
