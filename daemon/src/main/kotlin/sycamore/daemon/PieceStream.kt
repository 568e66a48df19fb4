package sycamore.daemon

import java.io.InputStream

/** A stream whose bytes come in pieces, each made when all before it have been read. It begins with [first]. */
abstract class PieceStream(
    first: ByteArray = ByteArray(0),
) : InputStream() {
    private var buffer = first
    private var position = 0

    /** The next bytes, which may be none, or null at the end. */
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
