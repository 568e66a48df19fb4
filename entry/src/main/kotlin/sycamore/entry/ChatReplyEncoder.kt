package sycamore.entry

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import sycamore.links.Part
import sycamore.links.Whole
import sycamore.programs.Answer
import sycamore.programs.Refusal
import sycamore.programs.Usage

/**
 * Encodes the answer to one chat completion, as one JSON object or as server-sent events.
 *
 * @param created the time of the answer in seconds since 1970.
 * @param includeUsage whether the last of the events holds the numbers of tokens used.
 */
internal class ChatReplyEncoder(
    private val id: String,
    private val model: String,
    private val created: Long,
    private val includeUsage: Boolean,
) : ReplyEncoder {
    private val decoder = Utf8Decoder()

    override fun encodeStart(): ByteArray = event(chunk(textDelta("", "role" to JsonPrimitive("assistant"))))

    override fun encodePart(part: Part): ByteArray {
        val text = decoder.decode(part.bytes)
        return if (text.isEmpty()) ByteArray(0) else event(chunk(textDelta(text)))
    }

    override fun encodeEnd(whole: Whole): ByteArray {
        val rest = decoder.finish()
        val text = if (rest.isEmpty()) ByteArray(0) else event(chunk(textDelta(rest)))
        val calls = whole.answer.toolCalls?.let { event(chunk(callsDelta(it))) } ?: ByteArray(0)
        val finish = event(chunk(JsonObject(emptyMap()), whole.answer.finishReason))
        val usage = if (includeUsage) event(usageChunk(whole.answer.usage)) else ByteArray(0)
        return text + calls + finish + usage + DONE
    }

    override fun encodeFailure(refusal: Refusal): ByteArray = "data: ${Problem.event(refusal)}\n\n".encodeToByteArray()

    /** Returns the complete answer with the text [text] as one JSON object. */
    fun encodeCompletion(
        text: String,
        answer: Answer,
    ): String {
        val message =
            buildJsonObject {
                put("role", JsonPrimitive("assistant"))
                put("content", if (text.isEmpty() && answer.toolCalls != null) JsonNull else JsonPrimitive(text))
                answer.toolCalls?.let { put("tool_calls", Json.parseToJsonElement(it)) }
            }
        val choice = choice("message", message, answer.finishReason)
        return completion("chat.completion", listOf(choice), usage(answer.usage)).toString()
    }

    private fun event(chunk: JsonObject) = "data: $chunk\n\n".encodeToByteArray()

    private fun chunk(
        delta: JsonObject,
        finishReason: String = "",
    ): JsonObject = chunk(listOf(choice("delta", delta, finishReason)), JsonNull)

    private fun usageChunk(usage: Usage): JsonObject = chunk(emptyList(), usage(usage))

    private fun chunk(
        choices: List<JsonObject>,
        usage: JsonElement,
    ): JsonObject = completion("chat.completion.chunk", choices, usage.takeIf { includeUsage })

    private fun textDelta(
        text: String,
        vararg others: Pair<String, JsonElement>,
    ) = JsonObject(mapOf(*others, "content" to JsonPrimitive(text)))

    private fun callsDelta(toolCalls: String): JsonObject {
        val calls = Json.parseToJsonElement(toolCalls) as? JsonArray ?: JsonArray(emptyList())
        val indexed = calls.filterIsInstance<JsonObject>().mapIndexed { i, call -> withIndex(call, i) }
        return JsonObject(mapOf("tool_calls" to JsonArray(indexed)))
    }

    private fun withIndex(
        call: JsonObject,
        index: Int,
    ) = JsonObject(mapOf("index" to JsonPrimitive(index)) + call.filterKeys { it != "index" })

    private fun completion(
        type: String,
        choices: List<JsonObject>,
        usage: JsonElement?,
    ): JsonObject =
        buildJsonObject {
            put("id", JsonPrimitive("chatcmpl-$id"))
            put("object", JsonPrimitive(type))
            put("created", JsonPrimitive(created))
            put("model", JsonPrimitive(model))
            put("choices", JsonArray(choices))
            usage?.let { put("usage", it) }
        }

    private fun choice(
        content: String,
        value: JsonElement,
        finishReason: String,
    ) = buildJsonObject {
        put("index", JsonPrimitive(0))
        put(content, value)
        put("finish_reason", if (finishReason.isEmpty()) JsonNull else JsonPrimitive(finishReason))
    }

    private fun usage(usage: Usage) =
        buildJsonObject {
            put("prompt_tokens", JsonPrimitive(usage.promptTokens))
            put("completion_tokens", JsonPrimitive(usage.completionTokens))
            put("total_tokens", JsonPrimitive(usage.total))
            put("prompt_tokens_details", buildJsonObject { put("cached_tokens", JsonPrimitive(usage.cachedTokens)) })
        }

    private companion object {
        val DONE = "data: [DONE]\n\n".encodeToByteArray()
    }
}
