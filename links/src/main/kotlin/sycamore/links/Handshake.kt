package sycamore.links

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import kotlinx.serialization.encodeToByteArray
import sycamore.model.HostName
import java.security.MessageDigest
import java.security.SecureRandom

/** First frame of each side: who it is, what versions it speaks, and a number that it has never sent before. */
@Serializable
internal class Hello(
    @CborLabel(1) val least: Int,
    @CborLabel(2) val most: Int,
    @CborLabel(3) val from: HostName,
    @CborLabel(4) val nonce: ByteArray,
    @CborLabel(5) val keyId: String = "",
)

/** Second frame of each side: the signature of both hellos. An empty [signature] is given where no keys are set. */
@Serializable
internal class Proof(
    @CborLabel(1) val signature: ByteArray,
    @CborLabel(2) val refusal: String = "",
)

/** Versions of the protocol that a process speaks. */
internal data class Versions(
    val least: Int = 2,
    val most: Int = 2,
) {
    /** The highest version that [other] speaks too, or null. */
    fun common(other: Hello): Int? = minOf(most, other.most).takeIf { it >= maxOf(least, other.least) }
}

/** Who is at the other end, and in which version to speak. */
internal class Peer(
    val name: HostName,
    val version: Int,
)

/**
 * Lets both ends of a new connection prove that they know a key, and agree on a version.
 *
 * Each signs its role and both hellos, as sent. The random number in each hello makes a recorded proof worthless, the role
 * keeps one from being sent back to its maker, and the signed version ranges cannot be lowered on the way.
 */
internal class Handshake(
    private val self: HostName,
    private val keys: LinkKeys,
    private val versions: Versions = Versions(),
) {
    /** Runs the side that dialled. */
    suspend fun dial(pipe: Pipe): Peer {
        val key = keys.all.firstOrNull()
        val mine = hello(key)
        pipe.write(mine)
        val theirs = pipe.read(MAX_BYTES)
        val peer = decode(theirs)
        val version = agree(peer)
        pipe.write(proof(key, DIALLER, mine, theirs))
        verify(pipe.read(MAX_BYTES), key, ACCEPTOR, mine, theirs)
        return Peer(peer.from, version)
    }

    /** Runs the side that accepted. */
    suspend fun accept(pipe: Pipe): Peer {
        val theirs = pipe.read(MAX_BYTES)
        val peer = decode(theirs)
        val mine = hello(null)
        pipe.write(mine)
        try {
            val version = agree(peer)
            // Read in any case: a connection closed with bytes unread is reset, and the peer loses the refusal.
            val proof = pipe.read(MAX_BYTES)
            val key = keys.find(peer.keyId)
            if (key == null && keys.all.isNotEmpty()) throw LinkRefusedException("no such key as '${peer.keyId}'")
            verify(proof, key, DIALLER, theirs, mine)
            pipe.write(proof(key, ACCEPTOR, theirs, mine))
            return Peer(peer.from, version)
        } catch (e: LinkRefusedException) {
            pipe.write(FrameCodec.cbor.encodeToByteArray(Proof(Envelope.NOTHING, e.message.orEmpty())))
            throw e
        }
    }

    private fun hello(key: LinkKey?): ByteArray {
        val nonce = ByteArray(NONCE_BYTES).also(random::nextBytes)
        return FrameCodec.cbor.encodeToByteArray(Hello(versions.least, versions.most, self, nonce, key?.id.orEmpty()))
    }

    private fun decode(bytes: ByteArray): Hello {
        val hello = FrameCodec.decodeOrFail<Hello>(bytes)
        if (hello.nonce.size < NONCE_BYTES) throw ProtocolException("expected a nonce of $NONCE_BYTES bytes")
        return hello
    }

    private fun agree(peer: Hello): Int =
        versions.common(peer)
            ?: throw LinkRefusedException(
                "${peer.from} speaks versions ${peer.least} to ${peer.most}, " +
                    "$self speaks ${versions.least} to ${versions.most}",
            )

    private fun proof(
        key: LinkKey?,
        role: ByteArray,
        dialled: ByteArray,
        accepted: ByteArray,
    ): ByteArray {
        val signature = key?.sign(role, dialled, accepted) ?: Envelope.NOTHING
        return FrameCodec.cbor.encodeToByteArray(Proof(signature))
    }

    private fun verify(
        bytes: ByteArray,
        key: LinkKey?,
        role: ByteArray,
        dialled: ByteArray,
        accepted: ByteArray,
    ) {
        val proof = FrameCodec.decodeOrFail<Proof>(bytes)
        if (proof.refusal.isNotEmpty()) throw LinkRefusedException("refused: ${proof.refusal}")
        if (key == null) return
        val expected = key.sign(role, dialled, accepted)
        if (!MessageDigest.isEqual(
                expected,
                proof.signature,
            )
        ) {
            throw LinkRefusedException("the proof of the key is wrong")
        }
    }

    private companion object {
        const val NONCE_BYTES = 16

        /** Largest frame from a peer that has proved nothing yet. */
        const val MAX_BYTES = 4 * 1024

        val DIALLER = "sycamore dialler".encodeToByteArray()
        val ACCEPTOR = "sycamore acceptor".encodeToByteArray()
        val random = SecureRandom()
    }
}

/** The two ends do not share a key or a version. */
internal class LinkRefusedException(
    message: String,
) : Exception(message)
