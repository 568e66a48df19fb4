package sycamore.links

import kotlinx.coroutines.channels.Channel
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** A pipe over TCP, whose [channel] is connected and watched by [loop]. */
internal class SocketPipe(
    private val channel: SocketChannel,
    private val loop: LinkLoop,
    private val traffic: LinkTraffic,
) : Pipe {
    private val reading = ReentrantLock()
    private val arrived = ArrayDeque<ByteBuffer>()
    private var arrivedBytes = 0
    private var end: IOException? = null
    private val hasArrived = Channel<Unit>(Channel.CONFLATED)

    private val writing = ReentrantLock()
    private val waiting = ArrayDeque<ByteBuffer>()
    private val hasLeft = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var key: SelectionKey? = null

    /** Begins to read. */
    fun start(): SocketPipe =
        apply {
            loop.register(channel, SelectionKey.OP_READ, ::ready) { registered ->
                key = registered
                if (writing.withLock { waiting.isNotEmpty() }) loop.change(registered, added = SelectionKey.OP_WRITE)
            }
        }

    private fun ready(
        key: SelectionKey,
        buffer: ByteBuffer,
    ) {
        try {
            if (key.isReadable) receive(key, buffer)
            if (key.isValid && key.isWritable) send(key)
        } catch (e: IOException) {
            fail(e)
        }
    }

    private fun receive(
        key: SelectionKey,
        buffer: ByteBuffer,
    ) {
        val count = channel.read(buffer)
        if (count < 0) throw IOException("the peer closed the connection")
        val part = ByteBuffer.allocate(count).put(buffer.flip()).flip()
        val isFull =
            reading.withLock {
                arrived += part
                arrivedBytes += count
                arrivedBytes > MOST_ARRIVED
            }
        if (isFull) loop.change(key, removed = SelectionKey.OP_READ)
        hasArrived.trySend(Unit)
    }

    override suspend fun read(limit: Int): ByteArray {
        val size = ByteBuffer.wrap(take(Pipe.LENGTH_BYTES)).getInt()
        if (size !in 1..limit) throw ProtocolException("expected a frame of 1 to $limit bytes, found $size")
        return take(size).also { traffic.received(size + Pipe.LENGTH_BYTES) }
    }

    private suspend fun take(count: Int): ByteArray {
        val bytes = ByteArray(count)
        var taken = take(bytes, 0)
        while (taken < count) {
            hasArrived.receive()
            taken = take(bytes, taken)
        }
        return bytes
    }

    /** Moves bytes that have arrived into [bytes] from [start] on, and returns up to where. */
    private fun take(
        bytes: ByteArray,
        start: Int,
    ): Int =
        reading.withLock {
            val wasFull = arrivedBytes > MOST_ARRIVED
            var next = start
            while (next < bytes.size) {
                val part = arrived.firstOrNull() ?: break
                val count = minOf(part.remaining(), bytes.size - next)
                part.get(bytes, next, count)
                next += count
                if (!part.hasRemaining()) arrived.removeFirst()
            }
            arrivedBytes -= next - start
            if (next < bytes.size) end?.let { throw it }
            if (wasFull && arrivedBytes <= MOST_ARRIVED) key?.let { loop.change(it, added = SelectionKey.OP_READ) }
            next
        }

    override fun put(frame: ByteArray): Boolean {
        val length = ByteBuffer.allocate(Pipe.LENGTH_BYTES).putInt(frame.size).flip()
        traffic.sent(frame.size + Pipe.LENGTH_BYTES)
        return writing.withLock {
            val isFirst = waiting.isEmpty()
            waiting += length
            waiting += ByteBuffer.wrap(frame)
            if (isFirst && !writeWaiting()) key?.let { loop.change(it, added = SelectionKey.OP_WRITE) }
            waiting.isEmpty()
        }
    }

    /** Writes as much as the socket takes; true when nothing is left. */
    private fun writeWaiting(): Boolean {
        channel.write(waiting.toTypedArray())
        while (waiting.firstOrNull()?.hasRemaining() == false) waiting.removeFirst()
        return waiting.isEmpty()
    }

    private fun send(key: SelectionKey) {
        if (!writing.withLock { writeWaiting() }) return
        loop.change(key, removed = SelectionKey.OP_WRITE)
        hasLeft.trySend(Unit)
    }

    override suspend fun drain() {
        while (writing.withLock { waiting.isNotEmpty() }) hasLeft.receive()
    }

    override fun close() = fail(IOException("the connection was closed"))

    private fun fail(cause: IOException) {
        reading.withLock { if (end == null) end = cause }
        // A channel that is watched is given back to the system by the thread that watches it.
        loop.execute { channel.close() }
        hasArrived.trySend(Unit)
        hasLeft.close(cause)
    }

    private companion object {
        /** Bytes that may wait to be read before the peer is held up; frames that are longer are taken in parts. */
        const val MOST_ARRIVED = 256 * 1024
    }
}
