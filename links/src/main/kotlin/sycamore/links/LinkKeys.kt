package sycamore.links

import sycamore.model.Digest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** A secret that all daemons of a fleet share. Its [id] tells keys apart without revealing them. */
class LinkKey private constructor(
    private val secret: ByteArray,
) {
    /** Names the key: the beginning of a digest of the secret. */
    val id: String = Digest.sha256(ID_LABEL + secret).hex.take(ID_CHARACTERS)

    /** The HMAC-SHA-256 of [parts], one after the other. */
    internal fun sign(vararg parts: ByteArray): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(SecretKeySpec(secret, ALGORITHM))
        parts.forEach(mac::update)
        return mac.doFinal()
    }

    override fun toString() = "LinkKey($id)"

    companion object {
        /** Fewest characters of a key's text. */
        const val MIN_CHARACTERS = 32

        private const val ALGORITHM = "HmacSHA256"
        private const val ID_CHARACTERS = 8
        private val ID_LABEL = "sycamore link key id ".encodeToByteArray()

        /** The key that settings write as [text], or null if that is too short. */
        fun parse(text: String): LinkKey? =
            text.trim().takeIf { it.length >= MIN_CHARACTERS }?.let { LinkKey(it.encodeToByteArray()) }
    }
}

/**
 * The keys that a process proves itself with. The first one signs what it dials; each is accepted from others.
 *
 * Keys are rotated in three steps: the new one is added behind the old one everywhere, then put before it everywhere,
 * then the old one is removed. Without any key, links are open; that is for loopback only.
 */
class LinkKeys(
    internal val all: List<LinkKey>,
) {
    override fun equals(other: Any?): Boolean = other is LinkKeys && all.map { it.id } == other.all.map { it.id }

    override fun hashCode(): Int = all.map { it.id }.hashCode()

    internal fun find(id: String): LinkKey? = all.firstOrNull { it.id == id }

    companion object {
        /** No proof is asked or given. */
        val NONE = LinkKeys(emptyList())
    }
}
