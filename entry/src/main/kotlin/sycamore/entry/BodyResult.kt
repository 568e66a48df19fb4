package sycamore.entry

import org.http4k.core.Request
import java.io.IOException

/** The result of reading a request's body. */
internal sealed interface BodyResult {
    /** The complete body. */
    class Bytes(
        val value: ByteArray,
    ) : BodyResult

    /** The body is longer than [limit] bytes. */
    data class TooLarge(
        val limit: Int,
    ) : BodyResult

    /** The body ended before it was complete, for [reason]. */
    data class Truncated(
        val reason: String,
    ) : BodyResult
}

/** Reads the body of [request], at most [limit] bytes. */
internal fun readBody(
    request: Request,
    limit: Int,
): BodyResult {
    val contentLength = request.header("content-length")?.toLongOrNull() ?: 0
    if (contentLength > limit) return BodyResult.TooLarge(limit)
    return try {
        val bytes = request.body.stream.readNBytes(limit + 1)
        if (bytes.size > limit) BodyResult.TooLarge(limit) else BodyResult.Bytes(bytes)
    } catch (e: IOException) {
        BodyResult.Truncated(e.message.orEmpty())
    }
}
