package sycamore.programs

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import sycamore.model.Epoch
import sycamore.model.HomeId
import sycamore.model.HostName
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/**
 * One value of a home's log in the key-value service.
 *
 * @property id unique to one attempt to write, so that a writer whose answer was lost can tell its own value.
 * @property retainers hosts, and no others, that may keep records above this segment's.
 * @property formerRetainers hosts that may keep some as well, since they were named before.
 * @property sealedBy the home that took over; nothing may follow such a segment.
 */
@Serializable
data class Segment(
    val home: HomeId,
    val id: String,
    val epoch: Epoch,
    val records: List<Numbered>,
    val retainers: List<HostName> = emptyList(),
    val formerRetainers: List<HostName> = emptyList(),
    val sealedBy: HomeId? = null,
)

/** Encodes segments as compressed CBOR, and names their keys. */
object Segments {
    private val cbor =
        Cbor {
            ignoreUnknownKeys = true
            alwaysUseByteString = true
        }

    private const val SEQUENCE_DIGITS = 12

    /** The prefix of the keys of [home]'s log. */
    fun prefix(home: HomeId): String = "log/$home/"

    /** The key of segment [sequence] of [home]'s log. Keys sort by sequence. */
    fun key(
        home: HomeId,
        sequence: Long,
    ): String = prefix(home) + sequence.toString().padStart(SEQUENCE_DIGITS, '0')

    /** The sequence that [key] names. */
    fun sequence(key: String): Long = key.substringAfterLast('/').toLong()

    /** The value of [segment]. */
    fun encode(segment: Segment): ByteArray {
        val bytes = ByteArrayOutputStream()
        val deflater = Deflater(Deflater.BEST_SPEED)
        DeflaterOutputStream(bytes, deflater).use { it.write(cbor.encodeToByteArray(segment)) }
        deflater.end()
        return bytes.toByteArray()
    }

    /** The segment that [value] holds. */
    fun decode(value: ByteArray): Segment =
        InflaterInputStream(ByteArrayInputStream(value)).use { cbor.decodeFromByteArray(it.readBytes()) }
}
