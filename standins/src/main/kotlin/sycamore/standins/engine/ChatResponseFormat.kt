package sycamore.standins.engine

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Formats the answer to [prompt] as a chat-completions response. */
internal class ChatResponseFormat(
    private val prompt: ChatPrompt,
) {
    private val finishReason =
        when {
            prompt.toolCalls != null -> "tool_calls"
            prompt.isTruncated -> "length"
            else -> "stop"
        }

    /** The server-sent event that carries [text]. */
    fun delta(text: String): String = event("""{"choices":[{"index":0,"delta":{"content":${JsonPrimitive(text)}}}]}""")

    /** The server-sent events that follow the last token: tool calls, finish reason, usage and `[DONE]`. */
    fun finalEvents(running: RunningCall): String {
        val tools = prompt.toolCalls?.let { event("""{"choices":[{"index":0,"delta":{"tool_calls":$it}}]}""") }
        val end =
            """{"choices":[{"index":0,"delta":{},"finish_reason":"$finishReason"}],"usage":${usage(running)}}"""
        return tools.orEmpty() + event(end) + event("[DONE]")
    }

    /** The complete answer as one JSON object. */
    fun completeBody(running: RunningCall): String {
        val tools = prompt.toolCalls?.let { ""","tool_calls":$it""" }.orEmpty()
        val text = JsonPrimitive(prompt.words.joinToString(""))
        val message = """{"role":"assistant","content":$text$tools}"""
        return """{"object":"chat.completion","choices":[{"index":0,"message":$message,""" +
            """"finish_reason":"$finishReason"}],"usage":${usage(running)}}"""
    }

    private fun usage(running: RunningCall): String {
        val end = runBlocking { running.end.await() } as CallEnd.Finished
        return """{"prompt_tokens":${running.call.promptTokens},"completion_tokens":${running.call.answer.tokens},""" +
            """"prompt_tokens_details":{"cached_tokens":${end.cachedTokens}}}"""
    }

    private fun event(data: String) = "data: $data\n\n"

    companion object {
        /** The body of an error response with [message]. */
        fun errorBody(message: String): String =
            JsonObject(mapOf("error" to JsonObject(mapOf("message" to JsonPrimitive(message))))).toString()

        /** The body of the response that lists the models [names]. */
        fun modelList(names: Collection<String>): String {
            val items = names.sorted().map { JsonObject(mapOf("id" to JsonPrimitive(it))) }
            return JsonObject(mapOf("object" to JsonPrimitive("list"), "data" to JsonArray(items))).toString()
        }
    }
}
