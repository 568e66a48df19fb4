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
import sycamore.programs.Request as Asked

/** Chat completions, whole or as server-sent events. */
internal class ChatHttp(
    private val calls: CallHttp,
    private val clock: Clock,
) {
    /** Answers one chat completion. */
    fun complete(request: CallerRequest): Response =
        request.withHeaders(CallHeaders.chat) { headers ->
            request.withBody { bytes ->
                when (val checked = ChatCheck.read(bytes)) {
                    is ReadChat.Valid -> run(request, headers, checked.body, bytes)
                    is ReadChat.Invalid ->
                        Problem.notRun(HttpStatus.BAD_REQUEST, checked.findings.joinToString("; "))
                }
            }
        }

    private fun run(
        request: CallerRequest,
        headers: CallHeaders,
        body: ChatBody,
        bytes: ByteArray,
    ): Response {
        val service =
            serviceOf(body.model, request.configuration)
                ?: return Problem.notRun(HttpStatus.NOT_FOUND, unknownModel(body.model, request.configuration))
        val asked = Asked("POST", PATH, body = bytes)
        return calls.run(request, service, headers, asked, ModelName(body.model)) { id, replies, begun ->
            answer(id, body, replies, begun)
        }
    }

    private fun answer(
        id: CallId,
        body: ChatBody,
        replies: Replies,
        begun: Begun,
    ): Response {
        val answer = ChatAnswer(id.value, body.model, clock.now().epochSeconds, body.includesUsage)
        return when {
            begun.status !in SUCCESS -> failed(replies)
            body.isStream -> streamed(replies, answer)
            else -> whole(replies, answer)
        }
    }

    private fun streamed(
        replies: Replies,
        answer: ChatAnswer,
    ): Response {
        val head =
            Response(Status.OK)
                .header("content-type", "text/event-stream")
                .header("cache-control", "no-cache")
        return ReplyStream.respond(head, replies, answer)
    }

    private fun whole(
        replies: Replies,
        answer: ChatAnswer,
    ): Response =
        collect(replies) { text, whole ->
            Response(Status.OK)
                .header("content-type", "application/json")
                .body(answer.complete(text, whole.answer))
        }

    private fun failed(replies: Replies): Response =
        collect(replies) { text, whole ->
            val status = whole.answer.status.takeIf { it in CLIENT_ERRORS } ?: HttpStatus.BAD_GATEWAY
            val detail = "the engine answered with status ${whole.answer.status}: ${text.take(MAX_DETAIL_CHARS)}"
            Problem.response(Refusal(Outcome.FAILED, status, detail))
        }

    private fun collect(
        replies: Replies,
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
        /** The path of chat completions, towards callers and engines alike. */
        const val PATH = "/v1/chat/completions"

        private const val MAX_DETAIL_CHARS = 500
        private val SUCCESS = 200..299
        private val CLIENT_ERRORS = 400..499
    }
}
