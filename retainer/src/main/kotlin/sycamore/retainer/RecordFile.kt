package sycamore.retainer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import sycamore.model.HomeId
import sycamore.turns.LogRecord
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.util.zip.CRC32

/** A change of the retained records, as it is stored in a file. */
@Serializable
internal sealed interface RecordChange {
    val home: HomeId
}

/** Adds [records] of [home]. Its records up to number [committed] are not needed any more. */
@Serializable
@SerialName("k")
internal data class RecordsKept(
    override val home: HomeId,
    val committed: Long,
    val records: List<LogRecord>,
) : RecordChange

/** Marks [home] as ended: no more of its records are accepted. */
@Serializable
@SerialName("e")
internal data class HomeFenced(
    override val home: HomeId,
) : RecordChange

/** Drops all records of [home], which are not needed any more. */
@Serializable
@SerialName("d")
internal data class HomeDropped(
    override val home: HomeId,
) : RecordChange

/**
 * An append-only file of changes. Each change consists of its length and its checksum, four bytes each, followed by
 * CBOR. Reading ends at the first incomplete change, which is the result of a loss of power during a write.
 */
internal class RecordFile(
    private val path: Path,
) : AutoCloseable {
    private val channel =
        FileChannel.open(
            path,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.APPEND,
        )

    /** The number of bytes written. */
    var size = 0L
        private set

    /** Appends [changes], which are durable once [sync] has returned. */
    fun append(changes: List<RecordChange>) {
        val frames = changes.map(::frame)
        val buffer = ByteBuffer.allocate(frames.sumOf { it.size })
        frames.forEach(buffer::put)
        buffer.flip()
        size += buffer.remaining()
        while (buffer.hasRemaining()) channel.write(buffer)
    }

    /** Makes all appended changes durable, so that they survive a loss of power. */
    fun sync() = channel.force(false)

    override fun close() = channel.close()

    private fun frame(change: RecordChange): ByteArray {
        val body = cbor.encodeToByteArray(RecordChange.serializer(), change)
        return ByteBuffer
            .allocate(HEAD_BYTES + body.size)
            .putInt(body.size)
            .putInt(checksum(body))
            .put(body)
            .array()
    }

    companion object {
        private const val HEAD_BYTES = 8

        private val cbor =
            Cbor {
                ignoreUnknownKeys = true
                alwaysUseByteString = true
            }

        /** Reads the complete changes of the file at [path], in order. */
        fun read(path: Path): List<RecordChange> {
            val bytes = ByteBuffer.wrap(Files.readAllBytes(path))
            val changes = ArrayList<RecordChange>()
            while (bytes.remaining() >= HEAD_BYTES) {
                val size = bytes.getInt()
                val checksum = bytes.getInt()
                if (size < 0 || size > bytes.remaining()) break
                val body = ByteArray(size)
                bytes.get(body)
                if (checksum(body) != checksum) break
                changes += decode(body) ?: break
            }
            return changes
        }

        private fun decode(body: ByteArray): RecordChange? =
            try {
                cbor.decodeFromByteArray(RecordChange.serializer(), body)
            } catch (_: SerializationException) {
                null
            }

        private fun checksum(bytes: ByteArray): Int = CRC32().apply { update(bytes) }.value.toInt()
    }
}
