package sycamore.bench.demo

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.longOrNull

/** The complete answer to one chat completion request. */
internal data class ChatReply(
    val text: String,
    val toolCalls: JsonArray?,
    val promptTokens: Long,
    val cachedTokens: Long,
    val completionTokens: Long,
) {
    companion object {
        private const val DATA = "data: "
        private const val DONE = "[DONE]"

        /** Parses an answer that is one JSON object. */
        fun fromJson(body: String): ChatReply {
            val fields = Json.parseToJsonElement(body).jsonObject
            val message = choice(fields)?.get("message")?.jsonObject
            return reply(message?.text("content").orEmpty(), message?.get("tool_calls") as? JsonArray, fields["usage"])
        }

        /** Parses an answer of server-sent events. Fails if it is truncated, that is, the final event is missing. */
        fun fromEventStream(body: String): ChatReply {
            val events = body.lines().filter { it.startsWith(DATA) }.map { it.removePrefix(DATA) }
            check(
                events.lastOrNull() == DONE,
            ) { "expected $DONE at the end of the events, found ${events.lastOrNull()}" }
            val chunks = events.dropLast(1).map { Json.parseToJsonElement(it).jsonObject }
            val deltas = chunks.mapNotNull { choice(it)?.get("delta") as? JsonObject }
            val calls = deltas.mapNotNull { it["tool_calls"] as? JsonArray }.flatten()
            val text = deltas.joinToString("") { it.text("content").orEmpty() }
            val usage = chunks.firstNotNullOfOrNull { it["usage"] as? JsonObject }
            return reply(text, calls.takeIf { it.isNotEmpty() }?.let(::JsonArray), usage)
        }

        private fun choice(fields: JsonObject): JsonObject? = fields["choices"]?.jsonArray?.firstOrNull()?.jsonObject

        private fun reply(
            text: String,
            toolCalls: JsonArray?,
            usage: JsonElement?,
        ): ChatReply {
            val fields = usage as? JsonObject ?: JsonObject(emptyMap())
            val details = fields["prompt_tokens_details"] as? JsonObject
            return ChatReply(
                text = text,
                toolCalls = toolCalls,
                promptTokens = fields.long("prompt_tokens"),
                cachedTokens = details?.long("cached_tokens") ?: 0,
                completionTokens = fields.long("completion_tokens"),
            )
        }

        private fun JsonObject.text(key: String): String? = (this[key] as? JsonPrimitive)?.contentOrNull

        private fun JsonObject.long(key: String): Long = (this[key] as? JsonPrimitive)?.longOrNull ?: 0
    }
}
