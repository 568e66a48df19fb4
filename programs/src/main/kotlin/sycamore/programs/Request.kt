package sycamore.programs

import kotlinx.serialization.Serializable
import sycamore.model.Digest

/** The HTTP request of a plain call, or the JSON body of a chat completion. */
@Serializable
data class Request(
    val method: String,
    val path: String,
    val contentType: String = "application/json",
    val body: ByteArray = ByteArray(0),
) {
    /** A digest that distinguishes a repeat with the same idempotency key from a different request with that key. */
    val digest: Digest get() = Digest.sha256("$method $path\n".encodeToByteArray() + body)

    override fun equals(other: Any?): Boolean =
        other is Request &&
            method == other.method &&
            path == other.path &&
            contentType == other.contentType &&
            body.contentEquals(other.body)

    override fun hashCode(): Int = (method.hashCode() * 31 + path.hashCode()) * 31 + body.contentHashCode()

    override fun toString(): String = "$method $path, ${body.size} bytes"
}
