package sycamore.links

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import sycamore.model.HostName
import java.io.IOException

/** What a connection carries: each frame is its length as four bytes, then CBOR. */
@Serializable
internal sealed interface Frame

/** First frame of each side. */
@Serializable
@SerialName("hello")
internal data class Hello(
    val version: Int,
    val from: HostName,
) : Frame

/** Begins exchange [stream]. */
@Serializable
@SerialName("ask")
internal data class Ask(
    val stream: Long,
    val message: Message,
) : Frame

/** One reply of exchange [stream]. */
@Serializable
@SerialName("reply")
internal data class Reply(
    val stream: Long,
    val message: Message,
) : Frame

/** There are no more replies to exchange [stream]. */
@Serializable
@SerialName("end")
internal data class End(
    val stream: Long,
) : Frame

/** The asking side no longer wants replies to exchange [stream]. */
@Serializable
@SerialName("cancel")
internal data class Cancel(
    val stream: Long,
) : Frame

/** Protocol version of this build. */
internal const val VERSION = 1

/** Largest accepted frame, in bytes. */
internal const val MAX_FRAME_BYTES = 8 * 1024 * 1024

private val cbor =
    Cbor {
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }

internal fun encode(frame: Frame): ByteArray = cbor.encodeToByteArray(frame)

internal suspend fun ByteReadChannel.readFrame(): Frame {
    val size = readInt()
    if (size !in 1..MAX_FRAME_BYTES) {
        throw IOException("expected a frame of 1 to $MAX_FRAME_BYTES bytes, found $size")
    }
    return cbor.decodeFromByteArray(readByteArray(size))
}
