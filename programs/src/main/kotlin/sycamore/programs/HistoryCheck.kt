package sycamore.programs

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject

/** What comparing a whole conversation with a program's history gave. */
sealed interface HistoryCheck {
    /** It continues the history by [added]. */
    data class Continues(
        val added: List<ChatMessage>,
    ) : HistoryCheck

    /** Its message at [index], from 0, is not the one in the history. */
    data class Differs(
        val index: Int,
    ) : HistoryCheck

    companion object {
        /** Compares [messages], a whole conversation, with [history]. */
        fun of(
            history: List<ChatMessage>,
            messages: List<ChatMessage>,
        ): HistoryCheck {
            val index = history.indices.firstOrNull { !isSame(history[it], messages.getOrNull(it)) }
            return if (index == null) Continues(messages.drop(history.size)) else Differs(index)
        }

        private fun isSame(
            kept: ChatMessage,
            sent: ChatMessage?,
        ): Boolean =
            sent != null &&
                kept.role == sent.role &&
                kept.content == sent.content &&
                kept.toolCallId == sent.toolCallId &&
                toolCalls(kept) == toolCalls(sent)

        /** Streamed tool calls carry an index that whole ones lack. */
        private fun toolCalls(message: ChatMessage): List<Any>? {
            val calls = message.toolCalls?.let { Json.parseToJsonElement(it) } as? JsonArray ?: return null
            return calls.map { call -> (call as? JsonObject)?.minus("index") ?: call }
        }
    }
}
