package sycamore.links

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborLabel
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.serializer

/**
 * What a connection carries: each frame is its length as four bytes, then an [Envelope] as CBOR.
 *
 * A frame of an unknown kind is skipped, and so are unknown fields, so that versions can differ.
 */
internal sealed interface Frame {
    /** A frame of a kind that this version does not know. */
    data object Unknown : Frame

    /** Begins exchange [stream] with a message, as CBOR. The asking side takes [window] replies before it says more. */
    class Ask(
        val stream: Long,
        val message: ByteArray,
        val window: Int,
    ) : Frame

    /** One reply of exchange [stream], and the last one if it [isLast]. */
    class Reply(
        val stream: Long,
        val message: ByteArray,
        val isLast: Boolean = false,
    ) : Frame

    /** There are no more replies to exchange [stream]. */
    data class End(
        val stream: Long,
    ) : Frame

    /** Exchange [stream] failed. [ran] says whether the receiver may have acted on its message. */
    data class Fail(
        val stream: Long,
        val ran: Boolean,
        val reason: String,
    ) : Frame

    /** The asking side no longer wants replies to exchange [stream]. */
    data class Cancel(
        val stream: Long,
    ) : Frame

    /** The asking side takes [count] more replies to exchange [stream]. */
    data class Credit(
        val stream: Long,
        val count: Int,
    ) : Frame

    /** Asks for [Pong]. */
    data object Ping : Frame

    /** Answers [Ping]. */
    data object Pong : Frame

    /** The sender takes no new exchanges and closes the connection once those in progress have ended. */
    data object Bye : Frame
}

@Serializable
internal class Envelope(
    @CborLabel(1) val kind: Int,
    @CborLabel(2) val stream: Long = 0,
    @CborLabel(3) val body: ByteArray = NOTHING,
    @CborLabel(4) val count: Int = 0,
    @CborLabel(5) val text: String = "",
) {
    internal companion object {
        val NOTHING = ByteArray(0)
    }
}

/** Encodes frames and messages. */
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

    /** Encodes what has no names in it but those of its types. */
    val cbor =
        Cbor {
            ignoreUnknownKeys = true
            alwaysUseByteString = true
            encodeDefaults = false
            preferCborLabelsOverNames = true
        }

    /** Built once: building the serializer of a sealed interface looks at each of its types. */
    private val messages = Message.serializer()

    /** The bytes of [frame], without their length. */
    fun encode(frame: Frame): ByteArray = cbor.encodeToByteArray(envelope(frame))

    /** The frame in [bytes]; fails with [ProtocolException] if there is none. */
    fun decode(bytes: ByteArray): Frame = frame(decodeOrFail<Envelope>(bytes))

    /** The bytes of [message]. */
    fun encodeMessage(message: Message): ByteArray = cbor.encodeToByteArray(messages, message)

    /** The message in [bytes], or null if this version does not know it. */
    fun decodeMessage(bytes: ByteArray): Message? =
        try {
            decodeOrFail(bytes, messages)
        } catch (_: ProtocolException) {
            null
        }

    /**
     * Decodes a [T]; whatever is wrong with [bytes] is a [ProtocolException].
     *
     * The library fails in several ways on damaged input, one of them by recursion without end.
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

    private fun envelope(frame: Frame): Envelope =
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

    private fun frame(envelope: Envelope): Frame =
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

/** The peer sent what the protocol does not allow. */
internal class ProtocolException(
    message: String,
) : Exception(message)
