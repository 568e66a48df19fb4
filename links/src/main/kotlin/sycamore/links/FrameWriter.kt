package sycamore.links

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import java.io.IOException

/**
 * Writes the frames of one link in the order that [write] is called.
 *
 * All frames that wait are written together, with one flush behind the last.
 */
internal class FrameWriter(
    private val channel: ByteWriteChannel,
    scope: CoroutineScope,
) {
    private val waiting = Channel<ByteArray>(MAX_WAITING)

    init {
        scope.launch { run() }
    }

    /** Queues [frame]; waits while the queue is full. Fails once a write has failed. */
    suspend fun write(frame: Frame) = waiting.send(encode(frame))

    private suspend fun run() {
        try {
            for (first in waiting) {
                put(first)
                putWaiting()
                channel.flush()
            }
        } catch (e: IOException) {
            close(e)
        } finally {
            close()
        }
    }

    /** Ends the writing: frames that wait are dropped, and whoever waits in [write] fails with [cause]. */
    fun close(cause: IOException = IOException("the link is closed")) {
        waiting.close(cause)
        waiting.cancel()
    }

    private suspend fun putWaiting() {
        repeat(MAX_WAITING) {
            val next = waiting.tryReceive().getOrNull() ?: return
            put(next)
        }
    }

    private suspend fun put(bytes: ByteArray) {
        channel.writeInt(bytes.size)
        channel.writeByteArray(bytes)
    }

    private companion object {
        const val MAX_WAITING = 256
    }
}
