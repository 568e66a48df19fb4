package sycamore.forwarding

import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.thread.Scheduler
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel

/**
 * A connection whose reads fail if it is reset, times out or is closed by this side. Jetty's own end point reports all
 * of these as the end of the stream, which would complete a response that is delimited by the close of its connection.
 */
internal class ResetDetectingEndPoint(
    channel: SocketChannel,
    selector: ManagedSelector,
    key: SelectionKey,
    scheduler: Scheduler,
) : SocketChannelEndPoint(channel, selector, key, scheduler) {
    /** Whether the peer has closed its side of the connection. */
    @Volatile
    private var isEndReceived = false

    @Volatile
    private var failure: IOException? = null

    /**
     * Reads into [buffer]. Returns the number of bytes, or -1 if the peer has closed its side of the connection.
     *
     * A failure is thrown by the read after the one that found it, which returns 0. Jetty reads once more after the
     * last byte of a response, before it reports the response as complete.
     *
     * @throws IOException if the connection was lost in any other way.
     */
    override fun fill(buffer: ByteBuffer): Int {
        if (isEndReceived) return END_OF_STREAM
        failure?.let { throw it }
        if (isInputShutdown) throw ClosedChannelException()
        val position = BufferUtil.flipToFill(buffer)
        val count =
            try {
                channel.read(buffer)
            } catch (e: IOException) {
                failure = e
                0
            } finally {
                BufferUtil.flipToFlush(buffer, position)
            }
        if (count > 0) {
            notIdle()
        } else if (count == END_OF_STREAM) {
            isEndReceived = true
            shutdownInput()
        }
        return count
    }

    private companion object {
        const val END_OF_STREAM = -1
    }
}
