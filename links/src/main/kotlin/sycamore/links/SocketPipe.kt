package sycamore.links

import kotlinx.coroutines.channels.Channel
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** A pipe over TCP. Its [channel] is connected, and [loop] handles its events. */
internal class SocketPipe(
    private val channel: SocketChannel,
    private val loop: LinkLoop,
    private val traffic: LinkTraffic,
) : Pipe {
    private val readLock = ReentrantLock()

    /** Chunks that were received and not read yet. */
    private val unread = ArrayDeque<ByteBuffer>()
    private var unreadBytes = 0
    private var failure: IOException? = null
    private val receiveSignal = Channel<Unit>(Channel.CONFLATED)

    private val writeLock = ReentrantLock()

    /** Frames and their lengths that are not fully written yet. */
    private val pending = ArrayDeque<ByteBuffer>()
    private val flushSignal = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var key: SelectionKey? = null

    /** Registers the channel with the loop, which then reads from it. */
    fun start(): SocketPipe =
        apply {
            loop.register(channel, SelectionKey.OP_READ, ::ready) { registered ->
                key = registered
                if (writeLock.withLock { pending.isNotEmpty() }) loop.changeOps(registered, add = SelectionKey.OP_WRITE)
            }
        }

    private fun ready(
        key: SelectionKey,
        buffer: ByteBuffer,
    ) {
        try {
            if (key.isReadable) readFromSocket(key, buffer)
            if (key.isValid && key.isWritable) writeToSocket(key)
        } catch (e: IOException) {
            fail(e)
        }
    }

    private fun readFromSocket(
        key: SelectionKey,
        buffer: ByteBuffer,
    ) {
        val count = channel.read(buffer)
        if (count < 0) throw IOException("the peer closed the connection")
        val chunk = ByteBuffer.allocate(count).put(buffer.flip()).flip()
        val isFull =
            readLock.withLock {
                unread += chunk
                unreadBytes += count
                unreadBytes > MAX_UNREAD_BYTES
            }
        if (isFull) loop.changeOps(key, remove = SelectionKey.OP_READ)
        receiveSignal.trySend(Unit)
    }

    override suspend fun read(maxBytes: Int): ByteArray {
        val size = ByteBuffer.wrap(readBytes(Pipe.LENGTH_BYTES)).getInt()
        if (size !in 1..maxBytes) throw ProtocolException("expected a frame of 1 to $maxBytes bytes, found $size")
        return readBytes(size).also { traffic.addReceived(size + Pipe.LENGTH_BYTES) }
    }

    private suspend fun readBytes(count: Int): ByteArray {
        val bytes = ByteArray(count)
        var filled = readReceived(bytes, 0)
        while (filled < count) {
            receiveSignal.receive()
            filled = readReceived(bytes, filled)
        }
        return bytes
    }

    /** Moves received bytes into [bytes] from index [start] on, and returns the index after the last one. */
    private fun readReceived(
        bytes: ByteArray,
        start: Int,
    ): Int =
        readLock.withLock {
            val wasFull = unreadBytes > MAX_UNREAD_BYTES
            var next = start
            while (next < bytes.size) {
                val chunk = unread.firstOrNull() ?: break
                val count = minOf(chunk.remaining(), bytes.size - next)
                chunk.get(bytes, next, count)
                next += count
                if (!chunk.hasRemaining()) unread.removeFirst()
            }
            unreadBytes -= next - start
            if (next < bytes.size) failure?.let { throw it }
            if (wasFull && unreadBytes <= MAX_UNREAD_BYTES) key?.let { loop.changeOps(it, add = SelectionKey.OP_READ) }
            next
        }

    override fun enqueue(frame: ByteArray): Boolean {
        val length = ByteBuffer.allocate(Pipe.LENGTH_BYTES).putInt(frame.size).flip()
        traffic.addSent(frame.size + Pipe.LENGTH_BYTES)
        return writeLock.withLock {
            val isFirst = pending.isEmpty()
            pending += length
            pending += ByteBuffer.wrap(frame)
            if (isFirst && !writeAvailable()) key?.let { loop.changeOps(it, add = SelectionKey.OP_WRITE) }
            pending.isEmpty()
        }
    }

    /** Writes as much as the socket accepts. Returns true if nothing is left to write. */
    private fun writeAvailable(): Boolean {
        channel.write(pending.toTypedArray())
        while (pending.firstOrNull()?.hasRemaining() == false) pending.removeFirst()
        return pending.isEmpty()
    }

    private fun writeToSocket(key: SelectionKey) {
        if (!writeLock.withLock { writeAvailable() }) return
        loop.changeOps(key, remove = SelectionKey.OP_WRITE)
        flushSignal.trySend(Unit)
    }

    override suspend fun flush() {
        while (writeLock.withLock { pending.isNotEmpty() }) flushSignal.receive()
    }

    override fun close() = fail(IOException("the connection was closed"))

    private fun fail(cause: IOException) {
        readLock.withLock { if (failure == null) failure = cause }
        // The thread of the selector closes the channel, since only that thread releases the socket of a registered
        // channel.
        loop.execute { channel.close() }
        receiveSignal.trySend(Unit)
        flushSignal.close(cause)
    }

    private companion object {
        /**
         * Number of received bytes in memory above which the socket is not read, which makes the peer wait. Longer
         * frames are received in several chunks.
         */
        const val MAX_UNREAD_BYTES = 256 * 1024
    }
}
