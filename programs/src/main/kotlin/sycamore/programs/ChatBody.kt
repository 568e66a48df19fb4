package sycamore.programs

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull

/** The JSON body of a chat completion. Fields that the system does not read are passed on as they are. */
class ChatBody private constructor(
    private val fields: JsonObject,
    val messages: List<ChatMessage>,
) {
    /** The model asked for. */
    val model: String get() = fields["model"]?.jsonPrimitive?.contentOrNull.orEmpty()

    /** Whether the caller wants server-sent events. */
    val isStream: Boolean get() = (fields["stream"] as? JsonPrimitive)?.booleanOrNull ?: false

    /** Whether the caller wants the tokens used at the end of a streamed answer. */
    val includesUsage: Boolean
        get() {
            val options = fields["stream_options"] as? JsonObject
            return (options?.get("include_usage") as? JsonPrimitive)?.booleanOrNull ?: false
        }

    /** The upper bound of the answer's length in tokens. */
    val maxTokens: Long get() = limit("max_completion_tokens") ?: limit("max_tokens") ?: DEFAULT_MAX_TOKENS

    /** Bytes of what the prompt may hold beside the messages, such as the descriptions of tools. */
    val otherBytes: Int get() = fields.filterKeys { it !in replaced }.toString().length

    /** The body with [messages], an upper bound of [maxTokens], and a streamed answer. */
    fun with(
        messages: List<ChatMessage>,
        maxTokens: Long,
    ): ByteArray {
        val body =
            buildJsonObject {
                fields.filterKeys { it !in replaced }.forEach { (key, value) -> put(key, value) }
                put("messages", JsonArray(messages.map(::toJson)))
                put("max_tokens", JsonPrimitive(maxTokens))
                put("stream", JsonPrimitive(true))
                put("stream_options", JsonObject(mapOf("include_usage" to JsonPrimitive(true))))
            }
        return body.toString().encodeToByteArray()
    }

    private fun limit(key: String): Long? = (fields[key] as? JsonPrimitive)?.longOrNull

    companion object {
        /** The answer's upper bound in tokens, for a body that names none. */
        const val DEFAULT_MAX_TOKENS = 1024L

        private val replaced = setOf("messages", "max_tokens", "max_completion_tokens", "stream", "stream_options")

        /** Parses [body], or returns null when it is not the body of a chat completion. */
        fun parse(body: ByteArray): ChatBody? {
            val fields = parseJson(body) as? JsonObject ?: return null
            return of(fields)
        }

        /** The body with [fields], or null when they are not those of a chat completion. */
        fun of(fields: JsonObject): ChatBody? {
            val list = fields["messages"] as? JsonArray ?: return null
            val messages = list.map { message(it) ?: return null }
            return ChatBody(fields, messages)
        }

        private fun parseJson(body: ByteArray): JsonElement? =
            try {
                Json.parseToJsonElement(body.decodeToString())
            } catch (_: SerializationException) {
                null
            }

        private fun message(element: JsonElement): ChatMessage? {
            val fields = element as? JsonObject ?: return null
            val role = (fields["role"] as? JsonPrimitive)?.contentOrNull ?: return null
            return ChatMessage(
                role = role,
                content = content(fields["content"]),
                toolCalls = fields["tool_calls"]?.takeIf { it is JsonArray }?.toString(),
                toolCallId = (fields["tool_call_id"] as? JsonPrimitive)?.contentOrNull,
            )
        }

        private fun content(element: JsonElement?): String =
            when (element) {
                null, JsonNull -> ""
                is JsonPrimitive -> element.content
                else -> element.toString()
            }

        private fun toJson(message: ChatMessage): JsonObject =
            buildJsonObject {
                put("role", JsonPrimitive(message.role))
                put("content", JsonPrimitive(message.content))
                message.toolCalls?.let { put("tool_calls", Json.parseToJsonElement(it)) }
                message.toolCallId?.let { put("tool_call_id", JsonPrimitive(it)) }
            }
    }
}
