package sycamore.bench.load

/** The client side of one program: builds its requests and checks that the answers belong to its history. */
internal class Conversation(
    private val shape: ProgramShape,
    private val keepsHistory: Boolean,
) {
    private val messages = StringBuilder()

    /** Builds the request body of turn [turn]. */
    fun requestBody(turn: Int): ByteArray {
        if (keepsHistory) messages.clear()
        if (messages.isNotEmpty()) messages.append(',')
        messages.append(message("user", "Turn $turn: please book a straightening slot."))
        val options = "\"stream\":true,\"max_tokens\":${shape.maxTokens}"
        return "{\"model\":\"${shape.model}\",$options,\"messages\":[$messages]}".encodeToByteArray()
    }

    /** Adds the [text] of an answer to the history. */
    fun addAnswer(text: String) {
        messages.append(',').append(message("assistant", text))
    }

    /**
     * Returns the kind of error of [result], the answer to turn [turn], or null if the answer is correct.
     *
     * The answers of the stand-in engine give the number of messages in the prompt. A wrong number shows that the
     * history was lost or mixed with another one.
     */
    fun findError(
        turn: Int,
        result: CallResult,
    ): String? {
        if (result.failure != null) return result.failure
        val expected = "saw ${2 * turn - 1} messages "
        if (result.text.startsWith(expected)) return null
        return "answer to another history: expected '$expected', found '${result.text.take(expected.length)}'"
    }

    private fun message(
        role: String,
        content: String,
    ) = "{\"role\":\"$role\",\"content\":\"$content\"}"
}
