package sycamore.links

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.cancel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import java.io.IOException

/** A pipe over in-memory byte channels. Calls [onClose] when this end is closed. */
internal class BytePipe(
    private val reader: ByteReadChannel,
    private val writer: ByteWriteChannel,
    private val onClose: () -> Unit,
) : Pipe {
    private val queue = ArrayDeque<ByteArray>()

    override suspend fun read(maxBytes: Int): ByteArray {
        val size = reader.readInt()
        if (size !in 1..maxBytes) throw ProtocolException("expected a frame of 1 to $maxBytes bytes, found $size")
        return reader.readByteArray(size)
    }

    override fun enqueue(frame: ByteArray): Boolean {
        queue += frame
        return false
    }

    override suspend fun flush() {
        while (queue.isNotEmpty()) {
            val frame = queue.removeFirst()
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
