package sycamore.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.channels.produce
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.runBlocking
import sycamore.links.Message
import java.io.IOException
import java.io.InputStream

/** Replies of one call, read by the blocking thread that serves the caller. */
internal class Replies(
    scope: CoroutineScope,
    flow: Flow<Message>,
) : AutoCloseable {
    private val channel: ReceiveChannel<Message> =
        scope.produce(capacity = BUFFERED) { flow.collect { send(it) } }

    /** The next reply, or null after the last. Blocks until there is one. */
    fun next(): Message? =
        runBlocking { channel.receiveCatching() }
            .also {
                it.exceptionOrNull()?.let { e ->
                    throw e
                }
            }.getOrNull()

    override fun close() = channel.cancel()

    private companion object {
        const val BUFFERED = 64
    }
}

/** The body of a response whose bytes come from the replies of a call. [render] turns a reply into bytes. */
internal class ReplyStream(
    private val replies: Replies,
    private val render: (Message) -> ByteArray,
) : InputStream() {
    private var buffer = ByteArray(0)
    private var position = 0

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
            val reply = nextReply() ?: return -1
            buffer = render(reply)
            position = 0
        }
        val count = minOf(length, buffer.size - position)
        buffer.copyInto(target, offset, position, position + count)
        position += count
        return count
    }

    private fun nextReply(): Message? =
        try {
            replies.next()
        } catch (e: Exception) {
            throw IOException("the answer broke off", e)
        }

    override fun close() = replies.close()

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
