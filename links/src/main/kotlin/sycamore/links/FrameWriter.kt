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
 * Writes frames to a pipe in the order in which they were sent. A frame is written in full even if the coroutine that
 * sent it is cancelled meanwhile.
 *
 * If no earlier frame is pending, the sender's thread passes the frame to the pipe. Otherwise the frame is queued, and
 * [run] does.
 */
internal class FrameWriter(
    private val pipe: Pipe,
    private val time: TimeSource = TimeSource.Monotonic,
) {
    private val permits = Semaphore(MAX_PENDING_FRAMES)
    private val lock = ReentrantLock()
    private val queue = ArrayDeque<ByteArray>()
    private val wake = Channel<Unit>(Channel.CONFLATED)

    /** Number of frames that the pipe has accepted and not fully written yet. */
    private var inPipe = 0
    private var failure: IOException? = null

    @Volatile
    private var writeStarted: TimeMark? = null

    /** How long the write in progress has taken so far; zero if there is none. */
    val pendingFor: Duration get() = writeStarted?.elapsedNow() ?: Duration.ZERO

    /** Whether frames are queued or being written. */
    val isBusy: Boolean get() = permits.availablePermits < MAX_PENDING_FRAMES

    /** Queues [frame], and suspends while the queue is full. Throws [IOException] once a write has failed. */
    suspend fun write(frame: Frame) = write(FrameCodec.encode(frame))

    /** Like [write], for an encoded frame. */
    suspend fun write(bytes: ByteArray) {
        permits.acquire()
        enqueue(bytes)
    }

    /** Queues [frame] unless the queue is full or the link is closed. */
    fun tryWrite(frame: Frame) {
        if (!permits.tryAcquire()) return
        try {
            enqueue(FrameCodec.encode(frame))
        } catch (_: IOException) {
            // No caller depends on this frame, and the next call of write reports the failure.
        }
    }

    private fun enqueue(bytes: ByteArray) {
        try {
            val isWritten = lock.withLock { writeOrQueue(bytes) }
            if (isWritten) permits.release() else wake.trySend(Unit)
        } catch (e: IOException) {
            permits.release()
            throw e
        }
    }

    /** Passes [bytes] to the pipe or queues them. Returns true if they were fully written. */
    private fun writeOrQueue(bytes: ByteArray): Boolean {
        failure?.let { throw it }
        if (inPipe > 0) {
            queue += bytes
            return false
        }
        try {
            if (pipe.enqueue(bytes)) return true
        } catch (e: IOException) {
            failure = e
            throw e
        }
        inPipe = 1
        writeStarted = time.markNow()
        return false
    }

    /** Writes queued frames until closed or cancelled. */
    suspend fun run() {
        try {
            for (signal in wake) {
                do pipe.flush() while (passQueueToPipe())
            }
        } catch (e: IOException) {
            close(e)
        } finally {
            close()
        }
    }

    /** Passes all queued frames to the pipe, which has written the earlier ones. Returns false if none were queued. */
    private fun passQueueToPipe(): Boolean =
        lock.withLock {
            repeat(inPipe) { permits.release() }
            val next = queue.toList()
            queue.clear()
            inPipe = next.size
            writeStarted = if (next.isEmpty()) null else time.markNow()
            next.forEach(pipe::enqueue)
            next.isNotEmpty()
        }

    /** Ends the writing: drops queued frames, and makes suspended and later calls of [write] fail with [cause]. */
    fun close(cause: IOException = IOException("the link is closed")) {
        lock.withLock {
            if (failure == null) failure = cause
            repeat(inPipe + queue.size) { permits.release() }
            inPipe = 0
            queue.clear()
        }
        wake.close()
    }

    private companion object {
        const val MAX_PENDING_FRAMES = 256
    }
}
