package sycamore.model

import kotlinx.serialization.Serializable
import java.security.MessageDigest

/** A SHA-256 digest in lower-case hex, 64 characters. */
@Serializable
@JvmInline
value class Digest(
    val hex: String,
) {
    override fun toString(): String = hex

    companion object {
        /** The digest of [bytes]. */
        fun of(bytes: ByteArray): Digest = Digest(MessageDigest.getInstance("SHA-256").digest(bytes).toHexString())
    }
}
