package sycamore.turns

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import sycamore.model.Address
import sycamore.model.Decoded
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.PlaceName
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** A [TurnRecord] as bytes, with its number in the log of its home. Numbers begin at 1. */
@Serializable
data class LogRecord(
    val number: Long,
    val bytes: ByteArray,
) {
    override fun equals(other: Any?): Boolean =
        other is LogRecord && number == other.number && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = number.hashCode()
}

/** Identifies the data directory of a retainer. A retainer that lost its disk returns with another id. */
@Serializable
@JvmInline
value class RetainerId(
    val value: String,
) {
    override fun toString(): String = value
}

/** A daemon that stores records of homes on its disk until they are committed. */
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
 * @property records records by number. Numbers are missing where a record replaces earlier ones; see [condense].
 * @property isContinued whether the last of [records] continues in the next segment, since it is too large for one. A record whose
 *     last part is missing is not committed.
 * @property id id of one attempt to write the segment, by which a writer whose response was lost recognizes its own
 *     value.
 * @property retainers the only retainers, besides [formerRetainers], that may store records above this segment's.
 * @property formerRetainers retainers that may store some of these records as well, because they were named before.
 * @property sealedBy home that took this home over; no segment may follow one that has this value.
 */
@Serializable
data class LogSegment(
    val home: HomeId,
    val id: String,
    val records: List<LogRecord>,
    val retainers: List<Retainer> = emptyList(),
    val formerRetainers: List<Retainer> = emptyList(),
    val sealedBy: HomeId? = null,
    val isContinued: Boolean = false,
) {
    /** Number up to which all records of the log are committed with this segment; 0 if it contains none. */
    val lastNumber: Long get() = records.lastOrNull()?.let { if (isContinued) it.number - 1 else it.number } ?: 0
}

/** These records in groups of at most [maxBytes] bytes. A record that is larger is a group of its own. */
fun List<LogRecord>.groupBySize(maxBytes: Int): List<List<LogRecord>> {
    val groups = ArrayList<ArrayList<LogRecord>>()
    var bytes = 0L
    for (record in this) {
        bytes += record.bytes.size
        if (groups.isEmpty() || bytes > maxBytes) {
            groups += ArrayList<LogRecord>()
            bytes = record.bytes.size.toLong()
        }
        groups.last() += record
    }
    return groups
}

/** The complete records of [segments], which follow one another in a log. The parts of a record are joined. */
fun joinRecords(segments: List<LogSegment>): List<LogRecord> {
    val records = ArrayList<LogRecord>()
    var parts = ByteArray(0)
    for (segment in segments) {
        for (record in segment.records) {
            parts = if (parts.isEmpty()) record.bytes else parts + record.bytes
            if (segment.isContinued && record === segment.records.last()) continue
            records += LogRecord(record.number, parts)
            parts = ByteArray(0)
        }
    }
    return records
}

/** Encodes segments as compressed CBOR, and defines their keys. */
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

    /** The sequence number in [key]. */
    fun sequence(key: String): Long = key.substringAfterLast('/').toLong()

    /** The value of [segment]. */
    fun encode(segment: LogSegment): ByteArray {
        val bytes = ByteArrayOutputStream()
        val deflater = Deflater(Deflater.BEST_SPEED)
        DeflaterOutputStream(bytes, deflater).use { it.write(cbor.encodeToByteArray(segment)) }
        deflater.end()
        return bytes.toByteArray()
    }

    /** Maximum size of a segment before compression, several times that of the largest one. */
    private const val MAX_SEGMENT_BYTES = 32 * 1024 * 1024

    /** The segment that [value] holds. */
    fun decode(value: ByteArray): Decoded<LogSegment> =
        try {
            val bytes = InflaterInputStream(ByteArrayInputStream(value)).use { it.readNBytes(MAX_SEGMENT_BYTES) }
            Decoded.Valid(cbor.decodeFromByteArray(bytes))
        } catch (e: IOException) {
            Decoded.Invalid("the segment cannot be decompressed: ${e.message}")
        } catch (e: RuntimeException) {
            // The CBOR library reports malformed input by various exceptions.
            Decoded.Invalid("the segment cannot be decoded: ${e.message}")
        }
}
