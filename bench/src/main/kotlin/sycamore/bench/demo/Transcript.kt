package sycamore.bench.demo

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import sycamore.model.Digest

/**
 * One message of a program, in the caller's copy of the history.
 *
 * @property toolCalls the `tool_calls` array as JSON text, or null.
 */
internal data class DemoMessage(
    val role: String,
    val content: String,
    val toolCalls: String? = null,
    val toolCallId: String? = null,
) {
    /** The message as a JSON object of a chat completion request. */
    fun toJson(): JsonObject =
        buildJsonObject {
            put("role", JsonPrimitive(role))
            put("content", JsonPrimitive(content))
            toolCalls?.let { put("tool_calls", Json.parseToJsonElement(it)) }
            toolCallId?.let { put("tool_call_id", JsonPrimitive(it)) }
        }
}

/**
 * The caller's record of all messages of one program, against which it checks the answers.
 *
 * The engine stand-in begins each answer with the number of messages in its prompt and a digest of them. An answer
 * thus shows whether the prompt held the complete history in order.
 */
internal class Transcript {
    private var digest = Digest.sha256(ByteArray(0))

    /** The number of messages. */
    var size = 0
        private set

    /** Appends [message] to the history. */
    fun add(message: DemoMessage) {
        val text = "$digest\n${message.role}\n${message.toolCallId}\n${message.content}"
        digest = Digest.sha256(text.encodeToByteArray())
        size++
    }

    /** The expected beginning of the answer to all messages so far. */
    fun expectedAnswer(): String = "saw $size messages digest ${digest.hex.take(DIGEST_CHARS)} "

    companion object {
        private const val DIGEST_CHARS = 16

        /**
         * The body of a chat completion request with [messages] for [model].
         *
         * @param extraFields further fields of the body.
         * @param tool the name of a tool that the engine has to call, or null.
         */
        fun body(
            model: String,
            messages: List<DemoMessage>,
            extraFields: Map<String, JsonElement> = emptyMap(),
            tool: String? = null,
        ): String =
            buildJsonObject {
                put("model", JsonPrimitive(model))
                put("messages", JsonArray(messages.map { it.toJson() }))
                extraFields.forEach { (key, value) -> put(key, value) }
                if (tool != null) {
                    put("tool_choice", JsonPrimitive("required"))
                    put("tools", JsonArray(listOf(toolDefinition(tool))))
                }
            }.toString()

        private fun toolDefinition(name: String): JsonObject {
            val function = JsonObject(mapOf("name" to JsonPrimitive(name)))
            return JsonObject(mapOf("type" to JsonPrimitive("function"), "function" to function))
        }
    }
}
