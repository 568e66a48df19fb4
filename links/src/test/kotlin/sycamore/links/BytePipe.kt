package sycamore.links

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.cancel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import java.io.IOException

/** A pipe in memory. */
internal class BytePipe(
    private val reader: ByteReadChannel,
    private val writer: ByteWriteChannel,
    private val onClose: () -> Unit,
) : Pipe {
    private val waiting = ArrayDeque<ByteArray>()

    override suspend fun read(limit: Int): ByteArray {
        val size = reader.readInt()
        if (size !in 1..limit) throw ProtocolException("expected a frame of 1 to $limit bytes, found $size")
        return reader.readByteArray(size)
    }

    override fun put(frame: ByteArray): Boolean {
        waiting += frame
        return false
    }

    override suspend fun drain() {
        while (waiting.isNotEmpty()) {
            val frame = waiting.removeFirst()
            writer.writeInt(frame.size)
            writer.writeByteArray(frame)
        }
        writer.flush()
    }

    override fun close() {
        onClose()
        reader.cancel(IOException("the connection was closed"))
    }
}
