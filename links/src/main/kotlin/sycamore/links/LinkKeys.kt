package sycamore.links

import sycamore.model.Digest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** A secret that the daemons of a fleet share. Its [id] identifies the key without revealing it. */
class LinkKey private constructor(
    private val secret: ByteArray,
) {
    /** The identifier of the key: the first characters of a digest of the secret. */
    val id: String = Digest.sha256(ID_LABEL + secret).hex.take(ID_CHARACTERS)

    /** Returns the HMAC-SHA-256 of the concatenated [parts]. */
    internal fun sign(vararg parts: ByteArray): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(SecretKeySpec(secret, ALGORITHM))
        parts.forEach(mac::update)
        return mac.doFinal()
    }

    override fun toString() = "LinkKey($id)"

    companion object {
        /** Minimum length of a key in the settings. */
        const val MIN_CHARACTERS = 32

        private const val ALGORITHM = "HmacSHA256"
        private const val ID_CHARACTERS = 8
        private val ID_LABEL = "sycamore link key id ".encodeToByteArray()

        /** Parses a key from the settings. Returns null if [text] is shorter than [MIN_CHARACTERS]. */
        fun parse(text: String): LinkKey? =
            text.trim().takeIf { it.length >= MIN_CHARACTERS }?.let { LinkKey(it.encodeToByteArray()) }
    }
}

/**
 * The keys with which a process authenticates itself and its peers. It signs with the first key when it dials, and
 * accepts every key when a peer dials.
 *
 * Keys are rotated in three steps, each of them carried out at all processes before the next: add the new key after the
 * old one, move it before the old one, remove the old one. Without any key, links are not authenticated, which is meant
 * for loopback only.
 */
class LinkKeys(
    internal val all: List<LinkKey>,
) {
    override fun equals(other: Any?): Boolean = other is LinkKeys && all.map { it.id } == other.all.map { it.id }

    override fun hashCode(): Int = all.map { it.id }.hashCode()

    internal fun find(id: String): LinkKey? = all.firstOrNull { it.id == id }

    companion object {
        /** No keys: links are not authenticated. */
        val NONE = LinkKeys(emptyList())
    }
}
