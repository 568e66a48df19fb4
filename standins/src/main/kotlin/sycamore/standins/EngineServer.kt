package sycamore.standins

import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes

/** A model engine that answers each chat completion with a fixed number of words, as server-sent events. */
class EngineServer {
    /** The HTTP interface of an engine. */
    val handler: HttpHandler =
        routes("/v1/chat/completions" bind Method.POST to ::complete)

    private fun complete(request: Request): Response {
        val promptTokens = request.bodyString().length / BYTES_PER_TOKEN
        val words = (1..WORDS).joinToString("") { "data: ${delta("word$it ")}\n\n" }
        val usage = "{\"prompt_tokens\":$promptTokens,\"completion_tokens\":$WORDS}"
        val last = "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":$usage}\n\n"
        return Response(Status.OK)
            .header("content-type", "text/event-stream")
            .body("$words${last}data: [DONE]\n\n".byteInputStream())
    }

    private fun delta(text: String) = "{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"$text\"}}]}"

    private companion object {
        const val WORDS = 8
        const val BYTES_PER_TOKEN = 4
    }
}
