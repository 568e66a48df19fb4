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
 * The request body of a chat completion, and the simulated answer to it.
 *
 * The answer depends only on the prompt, so that a repeated request gives the same bytes. It contains the number
 * of received messages and their digest, by which a client can check that the engine received the complete
 * history. A request with `"tool_choice": "required"` is answered with a call of its first tool.
 */
internal class ChatPrompt private constructor(
    private val body: ChatBody,
    private val toolName: String?,
) {
    private val digests = cumulativeDigests(body.messages)
    private val digest = digests.lastOrNull() ?: Digest.sha256(ByteArray(0))

    /** The spans of the prompt, one per message. */
    val spans: List<PromptSpan> =
        body.messages.zip(digests) { message, digest -> PromptSpan(spanId(digest), estimateTokens(message)) }

    /** The words of the answer, each of which is one token. */
    val words: List<String> = fullAnswer().take(body.maxTokens.toInt().coerceAtLeast(1))

    /** Whether the answer was truncated at the requested token limit. */
    val isTruncated: Boolean = words.size < fullAnswer().size

    /** The `tool_calls` array of the answer as JSON text, or null if no tool is called. */
    val toolCalls: String? =
        toolName?.let {
            """[{"index":0,"id":"call-${digest.hex.take(ID_DIGITS)}","type":"function",""" +
                """"function":{"name":"$it","arguments":"{}"}}]"""
        }

    /** The requested model, or null if none is named. */
    val model: String? = body.model.ifEmpty { null }

    /** Whether the answer is requested as server-sent events. */
    val isStream: Boolean = body.isStream

    /** The span of the answer. A later prompt that contains the answer has the same span. */
    val answer: PromptSpan
        get() {
            val message = ChatMessage("assistant", words.joinToString(""), toolCalls)
            return PromptSpan(spanId(nextDigest(digest, message)), words.size)
        }

    private fun fullAnswer(): List<String> {
        val head =
            listOf("saw ", "${body.messages.size} ", "messages ", "digest ", "${digest.hex.take(ID_DIGITS)} ")
        val count = digest.hex.take(2).toInt(HEX_RADIX) % MAX_DIGEST_WORDS
        return head + (1..count).map { "${digest.hex.substring(it, it + WORD_DIGITS)} " }
    }

    companion object {
        private const val ID_DIGITS = 16
        private const val WORD_DIGITS = 6
        private const val HEX_RADIX = 16
        private const val MAX_DIGEST_WORDS = 24
        private const val BYTES_PER_TOKEN = 4

        /** Parses [bytes]. Returns null if they are not the request body of a chat completion. */
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

        private fun cumulativeDigests(messages: List<ChatMessage>): List<Digest> =
            messages.runningFold(Digest.sha256(ByteArray(0)), ::nextDigest).drop(1)

        private fun nextDigest(
            previous: Digest,
            message: ChatMessage,
        ): Digest =
            Digest.sha256(
                "$previous\n${message.role}\n${message.toolCallId}\n${message.content}".encodeToByteArray(),
            )

        private fun spanId(digest: Digest): Long =
            digest.hex
                .take(ID_DIGITS)
                .toULong(HEX_RADIX)
                .toLong()

        private fun estimateTokens(message: ChatMessage): Int = 1 + message.content.length / BYTES_PER_TOKEN
    }
}
