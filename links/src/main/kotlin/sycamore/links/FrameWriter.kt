package sycamore.links

import kotlinx.coroutines.channels.Channel
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Writes the frames of one link in the order that [write] is called.
 *
 * All frames that wait are written together, with one flush behind the last. A frame is written whole even when whoever
 * sent it is cancelled meanwhile.
 */
internal class FrameWriter(
    private val pipe: Pipe,
    private val time: TimeSource = TimeSource.Monotonic,
) {
    private val waiting = Channel<ByteArray>(MAX_WAITING)
    private val unfinished = AtomicInteger()

    @Volatile
    private var began: TimeMark? = null

    /** How long the present write has been going on, or zero. */
    val stuckFor: Duration get() = began?.elapsedNow() ?: Duration.ZERO

    /** Whether frames wait or are being written. */
    val isBusy: Boolean get() = unfinished.get() > 0

    /** Queues [frame]; waits while the queue is full. Fails with [IOException] once a write has failed. */
    suspend fun write(frame: Frame) = write(FrameCodec.encode(frame))

    /** As [write], for a frame that is encoded already. */
    suspend fun write(bytes: ByteArray) {
        unfinished.incrementAndGet()
        try {
            waiting.send(bytes)
        } catch (e: Exception) {
            unfinished.decrementAndGet()
            throw e
        }
    }

    /** Queues [frame] unless the queue is full. */
    fun tryWrite(frame: Frame) {
        unfinished.incrementAndGet()
        if (!waiting.trySend(FrameCodec.encode(frame)).isSuccess) unfinished.decrementAndGet()
    }

    /** Writes until closed or cancelled. */
    suspend fun run() {
        try {
            for (first in waiting) {
                began = time.markNow()
                pipe.put(first)
                val more = putWaiting()
                pipe.flush()
                began = null
                unfinished.addAndGet(-1 - more)
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

    private suspend fun putWaiting(): Int {
        repeat(MAX_WAITING) { count ->
            val next = waiting.tryReceive().getOrNull() ?: return count
            pipe.put(next)
        }
        return MAX_WAITING
    }

    private companion object {
        const val MAX_WAITING = 256
    }
}
