package sycamore.bench.load

/** What one program of the load asks, and whether the answers fit its history. */
internal class Conversation(
    private val shape: ProgramShape,
    private val keepsHistory: Boolean,
) {
    private val earlier = StringBuilder()

    /** The body of turn [turn]. */
    fun ask(turn: Int): ByteArray {
        if (keepsHistory) earlier.clear()
        if (earlier.isNotEmpty()) earlier.append(',')
        earlier.append(message("user", "Turn $turn: please book a straightening slot."))
        val options = "\"stream\":true,\"max_tokens\":${shape.maxTokens}"
        return "{\"model\":\"${shape.model}\",$options,\"messages\":[$earlier]}".encodeToByteArray()
    }

    /** Takes the answer's [text] into the history. */
    fun answered(text: String) {
        earlier.append(',').append(message("assistant", text))
    }

    /**
     * What is wrong with [result], the answer to turn [turn]; null when nothing is.
     *
     * The stand-in engine tells how many messages it saw, by which a history that was lost or mixed shows.
     */
    fun fault(
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
