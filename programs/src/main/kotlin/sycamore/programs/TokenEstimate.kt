package sycamore.programs

/** Upper bounds of the tokens that a prompt takes. A token of a byte-level vocabulary stands for at least one byte. */
object TokenEstimate {
    private const val TOKENS_PER_MESSAGE = 16L

    /** The prompt that repeats the context of [contextTokens] tokens, or none, and adds [messages]. */
    fun prompt(
        contextTokens: Long,
        messages: List<ChatMessage>,
    ): Long = contextTokens + messages.sumOf(::tokens)

    private fun tokens(message: ChatMessage): Long =
        TOKENS_PER_MESSAGE +
            message.content.encodeToByteArray().size +
            (message.toolCalls?.length ?: 0)
}
