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

/** The JSON body of a chat completion request. Fields that are not interpreted here are passed on unchanged. */
class ChatBody private constructor(
    private val fields: JsonObject,
    val messages: List<ChatMessage>,
) {
    /** The requested model. */
    val model: String get() = fields["model"]?.jsonPrimitive?.contentOrNull.orEmpty()

    /** Whether the caller requests the answer as server-sent events. */
    val isStream: Boolean get() = (fields["stream"] as? JsonPrimitive)?.booleanOrNull ?: false

    /** Whether the caller requests the token usage at the end of a streamed answer. */
    val includesUsage: Boolean
        get() {
            val options = fields["stream_options"] as? JsonObject
            return (options?.get("include_usage") as? JsonPrimitive)?.booleanOrNull ?: false
        }

    /** The maximum number of tokens of the answer. */
    val maxTokens: Long get() = longField("max_completion_tokens") ?: longField("max_tokens") ?: DEFAULT_MAX_TOKENS

    /** The size of the fields that may add to the prompt besides the messages, such as the descriptions of tools. */
    val nonMessageBytes: Int get() = fields.filterKeys { it !in replacedFields }.toString().length

    /** Encodes the body with [messages] and an answer of at most [maxTokens] tokens, which is to be streamed. */
    fun encodeWith(
        messages: List<ChatMessage>,
        maxTokens: Long,
    ): ByteArray {
        val body =
            buildJsonObject {
                fields.filterKeys { it !in replacedFields }.forEach { (key, value) -> put(key, value) }
                put("messages", JsonArray(messages.map(::toJson)))
                put("max_tokens", JsonPrimitive(maxTokens))
                put("stream", JsonPrimitive(true))
                put("stream_options", JsonObject(mapOf("include_usage" to JsonPrimitive(true))))
            }
        return body.toString().encodeToByteArray()
    }

    private fun longField(key: String): Long? = (fields[key] as? JsonPrimitive)?.longOrNull

    companion object {
        /** The maximum number of tokens of the answer when the body names none. */
        const val DEFAULT_MAX_TOKENS = 1024L

        private val replacedFields =
            setOf("messages", "max_tokens", "max_completion_tokens", "stream", "stream_options")

        /** Parses [body], or returns null when it is not the body of a chat completion request. */
        fun parse(body: ByteArray): ChatBody? {
            val fields = parseJson(body) as? JsonObject ?: return null
            return fromFields(fields)
        }

        /** The body with [fields], or null when they are not those of a chat completion request. */
        fun fromFields(fields: JsonObject): ChatBody? {
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
