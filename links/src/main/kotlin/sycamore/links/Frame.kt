package sycamore.links

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborLabel
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.serializer

/**
 * The unit of transfer on a connection: a length of four bytes, followed by an [Envelope] in CBOR.
 *
 * Frames of an unknown kind and unknown fields are skipped, so that the two ends may run different versions.
 */
internal sealed interface Frame {
    /** A frame of a kind that this version does not know. */
    data object Unknown : Frame

    /**
     * Starts exchange [stream] with a message in CBOR. The asking end accepts up to [window] replies before it sends a
     * [Credit].
     */
    class Ask(
        val stream: Long,
        val message: ByteArray,
        val window: Int,
    ) : Frame

    /** A reply of exchange [stream]; [isLast] marks the one that ends the exchange. */
    class Reply(
        val stream: Long,
        val message: ByteArray,
        val isLast: Boolean = false,
    ) : Frame

    /** Ends exchange [stream] without a further reply. */
    data class End(
        val stream: Long,
    ) : Frame

    /** Ends exchange [stream] with a failure. [ran] is whether the answering end may have acted on the message. */
    data class Fail(
        val stream: Long,
        val ran: Boolean,
        val reason: String,
    ) : Frame

    /** Cancels exchange [stream]; sent by the asking end. */
    data class Cancel(
        val stream: Long,
    ) : Frame

    /** Allows [count] more replies to exchange [stream]; sent by the asking end. */
    data class Credit(
        val stream: Long,
        val count: Int,
    ) : Frame

    /** A heartbeat, answered by [Pong]. */
    data object Ping : Frame

    /** Answers [Ping]. */
    data object Pong : Frame

    /** Announces that the sender rejects new exchanges and closes the connection once those in progress have ended. */
    data object Bye : Frame
}

/**
 * The serialized form of every [Frame].
 *
 * @property kind the number of the frame's type.
 * @property stream the number of the exchange; 0 for frames of the connection itself.
 * @property body the message, in CBOR.
 * @property count the window, credit or flag of the frame.
 * @property text the reason of a [Frame.Fail].
 */
@Serializable
internal class Envelope(
    @CborLabel(1) val kind: Int,
    @CborLabel(2) val stream: Long = 0,
    @CborLabel(3) val body: ByteArray = EMPTY,
    @CborLabel(4) val count: Int = 0,
    @CborLabel(5) val text: String = "",
) {
    internal companion object {
        val EMPTY = ByteArray(0)
    }
}

/** Encodes and decodes frames and messages. */
internal object FrameCodec {
    private const val ASK = 1
    private const val REPLY = 2
    private const val END = 3
    private const val FAIL = 4
    private const val CANCEL = 5
    private const val CREDIT = 6
    private const val PING = 7
    private const val PONG = 8
    private const val BYE = 9

    /** The format of everything on a link. Properties with a [CborLabel] are keyed by it instead of by their name. */
    val cbor =
        Cbor {
            ignoreUnknownKeys = true
            alwaysUseByteString = true
            encodeDefaults = false
            preferCborLabelsOverNames = true
        }

    /** Created once, since creating the serializer of a sealed interface visits each of its subclasses. */
    private val messageSerializer = Message.serializer()

    /** Encodes [frame], without the length that precedes it on the connection. */
    fun encode(frame: Frame): ByteArray = cbor.encodeToByteArray(toEnvelope(frame))

    /** Decodes a frame. Throws [ProtocolException] if [bytes] are not one. */
    fun decode(bytes: ByteArray): Frame = toFrame(decodeOrFail<Envelope>(bytes))

    fun encodeMessage(message: Message): ByteArray = cbor.encodeToByteArray(messageSerializer, message)

    /** Decodes a message. Returns null if [bytes] are none that this version knows. */
    fun decodeMessage(bytes: ByteArray): Message? =
        try {
            decodeOrFail(bytes, messageSerializer)
        } catch (_: ProtocolException) {
            null
        }

    /**
     * Decodes a [T]. Throws [ProtocolException] on any malformed input.
     *
     * The CBOR library reports malformed input by various exceptions, and overflows the stack on deeply nested input.
     */
    inline fun <reified T> decodeOrFail(
        bytes: ByteArray,
        serializer: KSerializer<T> = serializer(),
    ): T =
        try {
            cbor.decodeFromByteArray(serializer, bytes)
        } catch (e: RuntimeException) {
            throw ProtocolException("expected CBOR of ${T::class.simpleName}, found ${e.message}")
        } catch (_: StackOverflowError) {
            throw ProtocolException("expected CBOR of ${T::class.simpleName}, found endless nesting")
        }

    private fun toEnvelope(frame: Frame): Envelope =
        when (frame) {
            is Frame.Ask -> Envelope(ASK, frame.stream, frame.message, frame.window)
            is Frame.Reply -> Envelope(REPLY, frame.stream, frame.message, count = if (frame.isLast) 1 else 0)
            is Frame.End -> Envelope(END, frame.stream)
            is Frame.Fail -> Envelope(FAIL, frame.stream, count = if (frame.ran) 1 else 0, text = frame.reason)
            is Frame.Cancel -> Envelope(CANCEL, frame.stream)
            is Frame.Credit -> Envelope(CREDIT, frame.stream, count = frame.count)
            Frame.Ping -> Envelope(PING)
            Frame.Pong -> Envelope(PONG)
            Frame.Bye -> Envelope(BYE)
            Frame.Unknown -> error("a frame of unknown kind cannot be sent")
        }

    private fun toFrame(envelope: Envelope): Frame =
        when (envelope.kind) {
            ASK -> Frame.Ask(envelope.stream, envelope.body, envelope.count)
            REPLY -> Frame.Reply(envelope.stream, envelope.body, isLast = envelope.count != 0)
            END -> Frame.End(envelope.stream)
            FAIL -> Frame.Fail(envelope.stream, envelope.count != 0, envelope.text)
            CANCEL -> Frame.Cancel(envelope.stream)
            CREDIT -> Frame.Credit(envelope.stream, envelope.count)
            PING -> Frame.Ping
            PONG -> Frame.Pong
            BYE -> Frame.Bye
            else -> Frame.Unknown
        }
}

/** Thrown when the peer violates the protocol. */
internal class ProtocolException(
    message: String,
) : Exception(message)
