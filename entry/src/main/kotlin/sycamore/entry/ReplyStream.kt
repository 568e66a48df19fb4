package sycamore.entry

import org.http4k.core.Response
import sycamore.daemon.ChunkedInputStream
import sycamore.links.Part
import sycamore.links.Refused
import sycamore.links.Whole
import sycamore.programs.Refusal
import java.io.IOException

/** Turns the replies of a call into the bytes of a response's body. */
internal interface Rendering {
    /** The bytes before those of the first reply. */
    fun begin(): ByteArray = ByteArray(0)

    /** The bytes for [part]. */
    fun part(part: Part): ByteArray

    /** The bytes that complete the body. */
    fun whole(whole: Whole): ByteArray = ByteArray(0)

    /** The bytes that tell of [refusal] before the body is cut off. */
    fun broken(refusal: Refusal): ByteArray = ByteArray(0)
}

/**
 * The body of a response whose bytes come from the replies of a call.
 *
 * Reaches its end only when the answer is whole. Otherwise reading fails, so that the server cuts the response off and
 * the caller cannot take the part for the whole.
 */
internal class ReplyStream(
    private val replies: Replies,
    private val rendering: Rendering,
) : ChunkedInputStream(rendering.begin()) {
    private var isWhole = false
    private var failure: Refusal? = null

    override fun next(): ByteArray? {
        if (isWhole) return null
        failure?.let { throw IOException("the answer broke off: ${it.detail}") }
        return when (val reply = replies.next()) {
            is Part -> rendering.part(reply)
            is Whole -> rendering.whole(reply).also { isWhole = true }
            is Refused -> broken(reply.refusal)
            else -> ByteArray(0)
        }
    }

    private fun broken(refusal: Refusal): ByteArray {
        failure = refusal
        replies.cutOff(refusal)
        return rendering.broken(refusal)
    }

    override fun close() = replies.close()

    companion object {
        /**
         * [response] with the answer in [replies] as its body, rendered by [rendering].
         *
         * The body is always chunked. Without chunks the end of the connection would be the end of the body, and a
         * caller could not tell a cut-off one.
         */
        fun respond(
            response: Response,
            replies: Replies,
            rendering: Rendering,
        ): Response = response.header("transfer-encoding", "chunked").body(ReplyStream(replies, rendering))
    }
}
