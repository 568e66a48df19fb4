package sycamore.turns

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import sycamore.model.Address
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.PlaceName
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** A [TurnRecord] as bytes, and its number in its home's log. Numbers begin at 1. */
@Serializable
data class LogRecord(
    val number: Long,
    val bytes: ByteArray,
) {
    override fun equals(other: Any?): Boolean =
        other is LogRecord && number == other.number && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = number.hashCode()
}

/** Names the data folder of a retainer. One that lost its disk comes back under another name. */
@Serializable
@JvmInline
value class RetainerId(
    val value: String,
) {
    override fun toString(): String = value
}

/** A daemon that keeps records of homes on its disk until they are committed. */
@Serializable
data class Retainer(
    val id: RetainerId,
    val host: HostName,
    val place: PlaceName,
    val address: Address,
    val isLeaving: Boolean = false,
)

/**
 * One value of a home's log in the key-value service.
 *
 * @property id unique to one attempt to write, so that a writer whose answer was lost can tell its own value.
 * @property retainers those, and no others, that may keep records above this segment's.
 * @property formerRetainers those that may keep some as well, since they were named before.
 * @property sealedBy the home that took over; nothing may follow such a segment.
 */
@Serializable
data class LogSegment(
    val home: HomeId,
    val id: String,
    val records: List<LogRecord>,
    val retainers: List<Retainer> = emptyList(),
    val formerRetainers: List<Retainer> = emptyList(),
    val sealedBy: HomeId? = null,
)

/** Encodes segments as compressed CBOR, and names their keys. */
object LogSegments {
    private val cbor =
        Cbor {
            ignoreUnknownKeys = true
            alwaysUseByteString = true
        }

    private const val SEQUENCE_DIGITS = 9

    /** The prefix of the keys of [home]'s log. */
    fun prefix(home: HomeId): String = "sycamore/log/$home/"

    /** The key of segment [sequence] of [home]'s log. Keys sort by sequence. */
    fun key(
        home: HomeId,
        sequence: Long,
    ): String = prefix(home) + sequence.toString().padStart(SEQUENCE_DIGITS, '0')

    /** The sequence that [key] names. */
    fun sequence(key: String): Long = key.substringAfterLast('/').toLong()

    /** The value of [segment]. */
    fun encode(segment: LogSegment): ByteArray {
        val bytes = ByteArrayOutputStream()
        val deflater = Deflater(Deflater.BEST_SPEED)
        DeflaterOutputStream(bytes, deflater).use { it.write(cbor.encodeToByteArray(segment)) }
        deflater.end()
        return bytes.toByteArray()
    }

    /** The segment that [value] holds. */
    fun decode(value: ByteArray): LogSegment =
        InflaterInputStream(ByteArrayInputStream(value)).use { cbor.decodeFromByteArray(it.readBytes()) }
}
