package sycamore.entry

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import sycamore.links.Message
import sycamore.links.Part
import sycamore.links.Whole
import sycamore.programs.Answer
import sycamore.programs.Usage

/** Renders the answer to one chat completion, as one JSON object or as server-sent events. */
internal class ChatAnswer(
    private val id: String,
    private val model: String,
    private val created: Long,
) {
    private val decoder = Utf8Decoder()

    /** The event for [reply]; empty for replies that callers do not see. */
    fun event(reply: Message): ByteArray =
        when (reply) {
            is Part ->
                decoder
                    .decode(
                        reply.bytes,
                    ).let { if (it.isEmpty()) ByteArray(0) else event(chunk(delta(it), null)) }
            is Whole -> event(chunk(lastDelta(reply.answer), reply.answer)) + "data: [DONE]\n\n".encodeToByteArray()
            else -> ByteArray(0)
        }

    /** The whole answer whose text is [text]. */
    fun whole(
        text: String,
        answer: Answer,
    ): String {
        val message =
            buildJsonObject {
                put("role", JsonPrimitive("assistant"))
                put("content", JsonPrimitive(text))
                answer.toolCalls?.let { put("tool_calls", Json.parseToJsonElement(it)) }
            }
        return completion("chat.completion", "message", message, answer).toString()
    }

    private fun event(chunk: JsonObject) = "data: $chunk\n\n".encodeToByteArray()

    private fun delta(text: String) = buildJsonObject { put("content", JsonPrimitive(text)) }

    private fun lastDelta(answer: Answer) =
        buildJsonObject { answer.toolCalls?.let { put("tool_calls", Json.parseToJsonElement(it)) } }

    private fun chunk(
        delta: JsonObject,
        answer: Answer?,
    ): JsonObject = completion("chat.completion.chunk", "delta", delta, answer)

    private fun completion(
        type: String,
        content: String,
        value: JsonElement,
        answer: Answer?,
    ): JsonObject =
        buildJsonObject {
            put("id", JsonPrimitive(id))
            put("object", JsonPrimitive(type))
            put("created", JsonPrimitive(created))
            put("model", JsonPrimitive(model))
            put("choices", JsonArray(listOf(choice(content, value, answer))))
            answer?.let { put("usage", usage(it.usage)) }
        }

    private fun choice(
        content: String,
        value: JsonElement,
        answer: Answer?,
    ) = buildJsonObject {
        put("index", JsonPrimitive(0))
        put(content, value)
        put("finish_reason", answer?.let { JsonPrimitive(it.finishReason) } ?: JsonNull)
    }

    private fun usage(usage: Usage) =
        buildJsonObject {
            put("prompt_tokens", JsonPrimitive(usage.promptTokens))
            put("completion_tokens", JsonPrimitive(usage.completionTokens))
            put("total_tokens", JsonPrimitive(usage.total))
            put("prompt_tokens_details", buildJsonObject { put("cached_tokens", JsonPrimitive(usage.cachedTokens)) })
        }
}
