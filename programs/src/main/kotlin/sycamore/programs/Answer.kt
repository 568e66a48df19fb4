package sycamore.programs

import kotlinx.serialization.Serializable
import sycamore.model.Digest

/**
 * The complete answer to one call, kept so that a repeat of the call gets the same answer.
 *
 * @property status the HTTP status that the upstream returned.
 * @property body the answer text of a chat completion as UTF-8, or the body of a plain call.
 * @property toolCalls the `tool_calls` array of a chat completion as JSON text, or null.
 * @property finishReason the `finish_reason` of a chat completion: `stop`, `length` or `tool_calls`; empty otherwise.
 */
@Serializable
data class Answer(
    val status: Int,
    val contentType: String,
    val body: ByteArray,
    val toolCalls: String? = null,
    val finishReason: String = "",
    val usage: Usage = Usage(),
) {
    /** Whether the upstream answered with a 2xx status. */
    val isSuccess: Boolean get() = status in SUCCESS_STATUSES

    /** A digest of the status, tool calls and body, without the token usage. */
    val digest: Digest get() = Digest.sha256("$status $toolCalls\n".encodeToByteArray() + body)

    override fun equals(other: Any?): Boolean =
        other is Answer &&
            status == other.status &&
            contentType == other.contentType &&
            body.contentEquals(other.body) &&
            toolCalls == other.toolCalls &&
            finishReason == other.finishReason &&
            usage == other.usage

    override fun hashCode(): Int = status * 31 + body.contentHashCode()

    override fun toString(): String = "status $status, ${body.size} bytes"

    private companion object {
        val SUCCESS_STATUSES = 200..299
    }
}
