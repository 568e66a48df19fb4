package sycamore.programs

import kotlinx.serialization.Serializable

/**
 * One message of a chat conversation.
 *
 * @property content the text; empty when the message contains only tool calls.
 * @property toolCalls the `tool_calls` array as JSON text, or null.
 * @property toolCallId the tool call that a message of role `tool` answers, or null.
 */
@Serializable
data class ChatMessage(
    val role: String,
    val content: String,
    val toolCalls: String? = null,
    val toolCallId: String? = null,
)
