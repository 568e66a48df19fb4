package sycamore.standins.engine

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import sycamore.model.Digest
import sycamore.programs.ChatBody
import sycamore.programs.ChatMessage

/**
 * A chat completion as an engine sees it, and its answer.
 *
 * The answer depends on the prompt alone, so a repeat gives the same bytes. It tells how many messages the engine saw
 * and their digest, which shows whether the history came along. A body with `"tool_choice": "required"` is answered
 * with a call to its first tool.
 */
internal class ChatPrompt private constructor(
    private val body: ChatBody,
    private val toolName: String?,
) {
    private val digests = chain(body.messages)
    private val digest = digests.lastOrNull() ?: Digest.sha256(ByteArray(0))

    /** The prompt, one span per message. */
    val spans: List<PromptSpan> = body.messages.zip(digests) { message, id -> PromptSpan(idOf(id), tokens(message)) }

    /** The words of the answer, one token each. */
    val words: List<String> = words().take(body.maxTokens.toInt().coerceAtLeast(1))

    /** Whether the answer was cut at the asked limit. */
    val isCut: Boolean = words.size < words().size

    /** The `tool_calls` array of the answer as JSON text, or null. */
    val toolCalls: String? =
        toolName?.let {
            """[{"index":0,"id":"call-${digest.hex.take(SHORT)}","type":"function",""" +
                """"function":{"name":"$it","arguments":"{}"}}]"""
        }

    /** The model that is asked for, or null. */
    val model: String? = body.model.ifEmpty { null }

    /** Whether server-sent events are asked for. */
    val isStream: Boolean = body.isStream

    /** The span by which a later prompt finds the answer. */
    val answer: PromptSpan
        get() {
            val message = ChatMessage("assistant", words.joinToString(""), toolCalls)
            return PromptSpan(idOf(next(digest, message)), words.size)
        }

    private fun words(): List<String> {
        val head = listOf("saw ", "${body.messages.size} ", "messages ", "digest ", "${digest.hex.take(SHORT)} ")
        val count = digest.hex.take(2).toInt(HEX) % MORE_WORDS
        return head + (1..count).map { "${digest.hex.substring(it, it + WORD)} " }
    }

    companion object {
        private const val SHORT = 16
        private const val WORD = 6
        private const val HEX = 16
        private const val MORE_WORDS = 24
        private const val BYTES_PER_TOKEN = 4

        /** Parses [bytes], or returns null when they are not the body of a chat completion. */
        fun parse(bytes: ByteArray): ChatPrompt? {
            val body = ChatBody.parse(bytes) ?: return null
            val fields = Json.parseToJsonElement(bytes.decodeToString()) as JsonObject
            return ChatPrompt(body, if (isToolRequired(fields)) firstTool(fields) else null)
        }

        private fun isToolRequired(fields: JsonObject): Boolean =
            (fields["tool_choice"] as? JsonPrimitive)?.contentOrNull == "required"

        private fun firstTool(fields: JsonObject): String? {
            val tool = (fields["tools"] as? JsonArray)?.firstOrNull() as? JsonObject
            val function = tool?.get("function") as? JsonObject
            return (function?.get("name") as? JsonPrimitive)?.contentOrNull
        }

        private fun chain(messages: List<ChatMessage>): List<Digest> =
            messages.runningFold(Digest.sha256(ByteArray(0)), ::next).drop(1)

        private fun next(
            before: Digest,
            message: ChatMessage,
        ): Digest =
            Digest.sha256("$before\n${message.role}\n${message.toolCallId}\n${message.content}".encodeToByteArray())

        private fun idOf(digest: Digest): Long =
            digest.hex
                .take(SHORT)
                .toULong(HEX)
                .toLong()

        private fun tokens(message: ChatMessage): Int = 1 + message.content.length / BYTES_PER_TOKEN
    }
}
