package sycamore.daemon

import java.io.InputStream

/** An input stream that produces its bytes in chunks, each on demand. It begins with [first]. */
abstract class ChunkedInputStream(
    first: ByteArray = ByteArray(0),
) : InputStream() {
    private var buffer = first
    private var position = 0

    /** Returns the next chunk, which may be empty, or null at the end of the stream. */
    protected abstract fun next(): ByteArray?

    override fun read(): Int {
        val one = ByteArray(1)
        return if (read(one, 0, 1) < 0) -1 else one[0].toInt() and BYTE_MASK
    }

    override fun read(
        target: ByteArray,
        offset: Int,
        length: Int,
    ): Int {
        while (position == buffer.size) {
            buffer = next() ?: return -1
            position = 0
        }
        val count = minOf(length, buffer.size - position)
        buffer.copyInto(target, offset, position, position + count)
        position += count
        return count
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
