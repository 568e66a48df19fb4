package sycamore.links

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.sync.Semaphore
import java.io.IOException
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Writes frames to a pipe, each whole and in the order of their sends. A frame is written whole even when whoever sent it is
 * cancelled meanwhile.
 *
 * A frame is handed to the pipe by its sender while nothing waits before it, and else by [run].
 */
internal class FrameWriter(
    private val pipe: Pipe,
    private val time: TimeSource = TimeSource.Monotonic,
) {
    private val places = Semaphore(MAX_WAITING)
    private val lock = ReentrantLock()
    private val waiting = ArrayDeque<ByteArray>()
    private val wake = Channel<Unit>(Channel.CONFLATED)

    /** Frames that the pipe has got and not written yet. */
    private var underWay = 0
    private var failure: IOException? = null

    @Volatile
    private var began: TimeMark? = null

    /** How long the present write has been going on, or zero. */
    val stuckFor: Duration get() = began?.elapsedNow() ?: Duration.ZERO

    /** Whether frames wait or are being written. */
    val isBusy: Boolean get() = places.availablePermits < MAX_WAITING

    /** Queues [frame]; waits while the queue is full. Fails with [IOException] once a write has failed. */
    suspend fun write(frame: Frame) = write(FrameCodec.encode(frame))

    /** As [write], for a frame that is encoded already. */
    suspend fun write(bytes: ByteArray) {
        places.acquire()
        put(bytes)
    }

    /** Queues [frame] unless the queue is full or the link is closed. */
    fun tryWrite(frame: Frame) {
        if (!places.tryAcquire()) return
        try {
            put(FrameCodec.encode(frame))
        } catch (_: IOException) {
            // Nobody waits for this frame, and others that are sent tell of the failure.
        }
    }

    private fun put(bytes: ByteArray) {
        try {
            val isWritten = lock.withLock { attempt(bytes) }
            if (isWritten) places.release() else wake.trySend(Unit)
        } catch (e: IOException) {
            places.release()
            throw e
        }
    }

    /** Whether [bytes] are written, and do not wait. */
    private fun attempt(bytes: ByteArray): Boolean {
        failure?.let { throw it }
        if (underWay > 0) {
            waiting += bytes
            return false
        }
        try {
            if (pipe.put(bytes)) return true
        } catch (e: IOException) {
            failure = e
            throw e
        }
        underWay = 1
        began = time.markNow()
        return false
    }

    /** Writes what waits until closed or cancelled. */
    suspend fun run() {
        try {
            for (woken in wake) {
                do pipe.drain() while (putWaiting())
            }
        } catch (e: IOException) {
            close(e)
        } finally {
            close()
        }
    }

    /** Hands all that waits to the pipe, which has written what it got before; false when nothing waits. */
    private fun putWaiting(): Boolean =
        lock.withLock {
            repeat(underWay) { places.release() }
            val next = waiting.toList()
            waiting.clear()
            underWay = next.size
            began = if (next.isEmpty()) null else time.markNow()
            next.forEach(pipe::put)
            next.isNotEmpty()
        }

    /** Ends the writing: frames that wait are dropped, and whoever waits in [write] fails with [cause]. */
    fun close(cause: IOException = IOException("the link is closed")) {
        lock.withLock {
            if (failure == null) failure = cause
            repeat(underWay + waiting.size) { places.release() }
            underWay = 0
            waiting.clear()
        }
        wake.close()
    }

    private companion object {
        const val MAX_WAITING = 256
    }
}
