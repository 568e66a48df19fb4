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
 * One segment of a home's log, stored as one value in the key-value service.
 *
 * @property id an id unique to one attempt to write, by which a writer whose answer was lost recognizes its value.
 * @property epoch the fencing number of the home that wrote the segment.
 * @property retainers the hosts, and no others, that may retain records after those of this segment.
 * @property formerRetainers hosts that may also retain some of them, since an earlier segment named them as retainers.
 * @property sealedBy the home that took over, or null. No segment may follow a sealed one.
 */
@Serializable
data class Segment(
    val home: HomeId,
    val id: String,
    val epoch: Epoch,
    val records: List<NumberedRecord>,
    val retainers: List<HostName> = emptyList(),
    val formerRetainers: List<HostName> = emptyList(),
    val sealedBy: HomeId? = null,
)

/** Encodes segments as compressed CBOR, and computes their keys. */
object Segments {
    private val cbor =
        Cbor {
            ignoreUnknownKeys = true
            alwaysUseByteString = true
        }

    private const val SEQUENCE_DIGITS = 12

    /** The prefix of the keys of [home]'s log. */
    fun prefix(home: HomeId): String = "log/$home/"

    /** The key of segment number [sequence] of [home]'s log. Keys sort by sequence number. */
    fun key(
        home: HomeId,
        sequence: Long,
    ): String = prefix(home) + sequence.toString().padStart(SEQUENCE_DIGITS, '0')

    /** The sequence number in [key]. */
    fun sequence(key: String): Long = key.substringAfterLast('/').toLong()

    /** Encodes [segment] as the value to store. */
    fun encode(segment: Segment): ByteArray {
        val bytes = ByteArrayOutputStream()
        val deflater = Deflater(Deflater.BEST_SPEED)
        DeflaterOutputStream(bytes, deflater).use { it.write(cbor.encodeToByteArray(segment)) }
        deflater.end()
        return bytes.toByteArray()
    }

    /** Decodes the segment stored as [value]. */
    fun decode(value: ByteArray): Segment =
        InflaterInputStream(ByteArrayInputStream(value)).use { cbor.decodeFromByteArray(it.readBytes()) }
}
