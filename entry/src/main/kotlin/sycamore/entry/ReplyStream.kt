package sycamore.entry

import org.http4k.core.Response
import sycamore.daemon.ChunkedInputStream
import sycamore.links.Part
import sycamore.links.Refused
import sycamore.links.Whole
import sycamore.programs.Refusal
import java.io.IOException

/** Encodes the replies of a call as the bytes of a response's body. */
internal interface ReplyEncoder {
    /** The bytes before those of the first reply. */
    fun encodeStart(): ByteArray = ByteArray(0)

    /** The bytes for [part]. */
    fun encodePart(part: Part): ByteArray

    /** The bytes that complete the body. */
    fun encodeEnd(whole: Whole): ByteArray = ByteArray(0)

    /** The bytes that report [refusal] before the body is cut off. */
    fun encodeFailure(refusal: Refusal): ByteArray = ByteArray(0)
}

/**
 * The body of a response whose bytes come from the replies of a call.
 *
 * Reaches its end only when the answer is complete. Otherwise reading fails, so that the server cuts the response off
 * and the caller cannot mistake a part of the answer for the complete one.
 */
internal class ReplyStream(
    private val replies: ReplyReader,
    private val encoder: ReplyEncoder,
) : ChunkedInputStream(encoder.encodeStart()) {
    private var isComplete = false
    private var failure: Refusal? = null

    override fun next(): ByteArray? {
        if (isComplete) return null
        failure?.let { throw IOException("the answer broke off: ${it.detail}") }
        return when (val reply = replies.next()) {
            is Part -> encoder.encodePart(reply)
            is Whole -> encoder.encodeEnd(reply).also { isComplete = true }
            is Refused -> fail(reply.refusal)
            else -> ByteArray(0)
        }
    }

    private fun fail(refusal: Refusal): ByteArray {
        failure = refusal
        replies.recordCutOff(refusal)
        return encoder.encodeFailure(refusal)
    }

    override fun close() = replies.close()

    companion object {
        /**
         * Returns [response] with the answer in [replies] as its body, encoded by [encoder].
         *
         * The body is always chunked. Without chunks the end of the connection would be the end of the body, and a
         * caller could not recognize a body that was cut off.
         */
        fun respond(
            response: Response,
            replies: ReplyReader,
            encoder: ReplyEncoder,
        ): Response = response.header("transfer-encoding", "chunked").body(ReplyStream(replies, encoder))
    }
}
