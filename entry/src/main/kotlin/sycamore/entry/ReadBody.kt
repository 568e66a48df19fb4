package sycamore.entry

import org.http4k.core.Request
import java.io.IOException

/** What reading a request's body gave. */
internal sealed interface ReadBody {
    /** The whole body. */
    class Bytes(
        val value: ByteArray,
    ) : ReadBody

    /** The body is longer than [limit] bytes. */
    data class TooLarge(
        val limit: Int,
    ) : ReadBody

    /** The caller stopped sending. */
    data class BrokenOff(
        val reason: String,
    ) : ReadBody
}

/** Reads the body of [request], at most [limit] bytes. */
internal fun readBody(
    request: Request,
    limit: Int,
): ReadBody {
    val announced = request.header("content-length")?.toLongOrNull() ?: 0
    if (announced > limit) return ReadBody.TooLarge(limit)
    return try {
        val bytes = request.body.stream.readNBytes(limit + 1)
        if (bytes.size > limit) ReadBody.TooLarge(limit) else ReadBody.Bytes(bytes)
    } catch (e: IOException) {
        ReadBody.BrokenOff(e.message.orEmpty())
    }
}
