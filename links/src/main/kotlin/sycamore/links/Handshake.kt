package sycamore.links

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import kotlinx.serialization.encodeToByteArray
import sycamore.model.HostName
import java.security.MessageDigest
import java.security.SecureRandom

/**
 * The first frame of each end of a connection.
 *
 * @property least the lowest version of the protocol that the sender supports.
 * @property most the highest version of the protocol that the sender supports.
 * @property from the name of the sender.
 * @property nonce random bytes that the sender uses for this connection only.
 * @property keyId the key that the dialling end signs with; empty if it has none.
 */
@Serializable
internal class Hello(
    @CborLabel(1) val least: Int,
    @CborLabel(2) val most: Int,
    @CborLabel(3) val from: HostName,
    @CborLabel(4) val nonce: ByteArray,
    @CborLabel(5) val keyId: String = "",
)

/**
 * The second frame of each end of a connection.
 *
 * @property signature the HMAC of the sender's role and both [Hello] frames; empty if the sender has no keys or
 * refuses.
 * @property refusal the reason why the accepting end refuses the connection; empty if it does not.
 */
@Serializable
internal class Proof(
    @CborLabel(1) val signature: ByteArray,
    @CborLabel(2) val refusal: String = "",
)

/** The range of versions of the protocol that a process supports. */
internal data class Versions(
    val least: Int = 2,
    val most: Int = 2,
) {
    /** Returns the highest version that [other] supports too, or null if there is none. */
    fun common(other: Hello): Int? = minOf(most, other.most).takeIf { it >= maxOf(least, other.least) }
}

/** The other end of a connection, and the version of the protocol that both ends agreed on. */
internal class Peer(
    val name: HostName,
    val version: Int,
)

/**
 * Authenticates both ends of a new connection with a shared key, and negotiates the version of the protocol.
 *
 * Each end signs its role and the bytes of both [Hello] frames. The nonces prevent a replay of a recorded proof, the
 * role prevents a proof from being reflected to its sender, and the signed version ranges prevent a downgrade by a
 * third party.
 */
internal class Handshake(
    private val self: HostName,
    private val keys: LinkKeys,
    private val versions: Versions = Versions(),
) {
    /** Runs the handshake at the dialling end. */
    suspend fun dial(pipe: Pipe): Peer {
        val key = keys.all.firstOrNull()
        val mine = encodeHello(key)
        pipe.write(mine)
        val theirs = pipe.read(MAX_FRAME_BYTES)
        val peer = decodeHello(theirs)
        val version = negotiateVersion(peer)
        pipe.write(encodeProof(key, DIALLER, mine, theirs))
        verify(pipe.read(MAX_FRAME_BYTES), key, ACCEPTOR, mine, theirs)
        return Peer(peer.from, version)
    }

    /** Runs the handshake at the accepting end. */
    suspend fun accept(pipe: Pipe): Peer {
        val theirs = pipe.read(MAX_FRAME_BYTES)
        val peer = decodeHello(theirs)
        val mine = encodeHello(null)
        pipe.write(mine)
        try {
            val version = negotiateVersion(peer)
            // Reads the proof in any case: TCP resets a connection that is closed with unread bytes, and the peer then
            // loses the refusal.
            val proof = pipe.read(MAX_FRAME_BYTES)
            val key = keys.find(peer.keyId)
            if (key == null && keys.all.isNotEmpty()) throw LinkRefusedException("no such key as '${peer.keyId}'")
            verify(proof, key, DIALLER, theirs, mine)
            pipe.write(encodeProof(key, ACCEPTOR, theirs, mine))
            return Peer(peer.from, version)
        } catch (e: LinkRefusedException) {
            pipe.write(FrameCodec.cbor.encodeToByteArray(Proof(Envelope.EMPTY, e.message.orEmpty())))
            throw e
        }
    }

    private fun encodeHello(key: LinkKey?): ByteArray {
        val nonce = ByteArray(NONCE_BYTES).also(random::nextBytes)
        return FrameCodec.cbor.encodeToByteArray(Hello(versions.least, versions.most, self, nonce, key?.id.orEmpty()))
    }

    private fun decodeHello(bytes: ByteArray): Hello {
        val hello = FrameCodec.decodeOrFail<Hello>(bytes)
        if (hello.nonce.size < NONCE_BYTES) throw ProtocolException("expected a nonce of $NONCE_BYTES bytes")
        return hello
    }

    private fun negotiateVersion(peer: Hello): Int =
        versions.common(peer)
            ?: throw LinkRefusedException(
                "${peer.from} speaks versions ${peer.least} to ${peer.most}, " +
                    "$self speaks ${versions.least} to ${versions.most}",
            )

    private fun encodeProof(
        key: LinkKey?,
        role: ByteArray,
        dialled: ByteArray,
        accepted: ByteArray,
    ): ByteArray {
        val signature = key?.sign(role, dialled, accepted) ?: Envelope.EMPTY
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
        if (!MessageDigest.isEqual(expected, proof.signature)) {
            throw LinkRefusedException("the proof of the key is wrong")
        }
    }

    private companion object {
        const val NONCE_BYTES = 16

        /** Largest frame that is accepted from a peer that is not authenticated yet. */
        const val MAX_FRAME_BYTES = 4 * 1024

        val DIALLER = "sycamore dialler".encodeToByteArray()
        val ACCEPTOR = "sycamore acceptor".encodeToByteArray()
        val random = SecureRandom()
    }
}

/** Thrown when the two ends share no key or no version of the protocol. */
internal class LinkRefusedException(
    message: String,
) : Exception(message)
