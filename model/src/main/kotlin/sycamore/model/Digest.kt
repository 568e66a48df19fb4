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
        /** Computes the SHA-256 digest of [bytes]. */
        fun sha256(bytes: ByteArray): Digest = Digest(MessageDigest.getInstance("SHA-256").digest(bytes).toHexString())
    }
}
