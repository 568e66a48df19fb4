package sycamore.programs

/**
 * Estimates an upper bound of the tokens of a prompt.
 *
 * The bound counts one token for each byte, since a token of a byte-level vocabulary stands for at least one byte.
 */
object TokenEstimate {
    /** The tokens counted for each message in addition to its content and tool calls. */
    private const val OVERHEAD_TOKENS_PER_MESSAGE = 16L

    /** The bound for a prompt that repeats a context of [contextTokens] tokens and adds [messages]. */
    fun promptTokens(
        contextTokens: Long,
        messages: List<ChatMessage>,
    ): Long = contextTokens + messages.sumOf(::tokens)

    private fun tokens(message: ChatMessage): Long =
        OVERHEAD_TOKENS_PER_MESSAGE +
            message.content.encodeToByteArray().size +
            (message.toolCalls?.length ?: 0)
}
