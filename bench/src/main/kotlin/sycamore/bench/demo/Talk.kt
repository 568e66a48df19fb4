package sycamore.bench.demo

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import sycamore.model.Digest

/**
 * One message as the caller knows it.
 *
 * @property toolCalls the `tool_calls` array as JSON text, or null.
 */
internal data class Said(
    val role: String,
    val content: String,
    val toolCalls: String? = null,
    val toolCallId: String? = null,
) {
    /** The message as a chat completion carries it. */
    fun json(): JsonObject =
        buildJsonObject {
            put("role", JsonPrimitive(role))
            put("content", JsonPrimitive(content))
            toolCalls?.let { put("tool_calls", Json.parseToJsonElement(it)) }
            toolCallId?.let { put("tool_call_id", JsonPrimitive(it)) }
        }
}

/**
 * What was said in one program so far, kept by the caller to check the answers.
 *
 * The engine stand-in begins each answer with the number of messages that it saw and a digest of them. So an answer
 * shows whether the whole history came along, in its order.
 */
internal class Talk {
    private var digest = Digest.sha256(ByteArray(0))

    /** How many messages were said. */
    var size = 0
        private set

    /** Adds [message]. */
    fun add(message: Said) {
        val text = "$digest\n${message.role}\n${message.toolCallId}\n${message.content}"
        digest = Digest.sha256(text.encodeToByteArray())
        size++
    }

    /** How the answer to all that was said has to begin. */
    fun expectedAnswer(): String = "saw $size messages digest ${digest.hex.take(DIGEST_CHARS)} "

    companion object {
        private const val DIGEST_CHARS = 16

        /** The body of a chat completion with [messages] for [model]; [more] are further fields. */
        fun body(
            model: String,
            messages: List<Said>,
            more: Map<String, JsonElement> = emptyMap(),
            tool: String? = null,
        ): String =
            buildJsonObject {
                put("model", JsonPrimitive(model))
                put("messages", JsonArray(messages.map { it.json() }))
                more.forEach { (key, value) -> put(key, value) }
                if (tool != null) {
                    put("tool_choice", JsonPrimitive("required"))
                    put("tools", JsonArray(listOf(function(tool))))
                }
            }.toString()

        private fun function(name: String): JsonObject {
            val function = JsonObject(mapOf("name" to JsonPrimitive(name)))
            return JsonObject(mapOf("type" to JsonPrimitive("function"), "function" to function))
        }
    }
}
