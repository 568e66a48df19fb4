package sycamore.programs

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject

/** The result of comparing a complete conversation with the history of a program. */
sealed interface HistoryCheck {
    /** The conversation starts with the history, followed by the messages [added]. */
    data class Continues(
        val added: List<ChatMessage>,
    ) : HistoryCheck

    /** The message at [index], from 0, is missing or is not the one in the history. */
    data class Differs(
        val index: Int,
    ) : HistoryCheck

    companion object {
        /** Compares [messages], a complete conversation, with [history]. */
        fun compare(
            history: List<ChatMessage>,
            messages: List<ChatMessage>,
        ): HistoryCheck {
            val index = history.indices.firstOrNull { !isSame(history[it], messages.getOrNull(it)) }
            return if (index == null) Continues(messages.drop(history.size)) else Differs(index)
        }

        private fun isSame(
            expected: ChatMessage,
            found: ChatMessage?,
        ): Boolean =
            found != null &&
                expected.role == found.role &&
                expected.content == found.content &&
                expected.toolCallId == found.toolCallId &&
                toolCalls(expected) == toolCalls(found)

        /** The tool calls without the index, which only streamed tool calls have. */
        private fun toolCalls(message: ChatMessage): List<Any>? {
            val calls = message.toolCalls?.let { Json.parseToJsonElement(it) } as? JsonArray ?: return null
            return calls.map { call -> (call as? JsonObject)?.minus("index") ?: call }
        }
    }
}
