package sycamore.forwarding

import org.eclipse.jetty.client.transport.internal.HttpChannelOverHTTP
import org.eclipse.jetty.client.transport.internal.HttpConnectionOverHTTP
import org.eclipse.jetty.client.transport.internal.HttpReceiverOverHTTP
import org.eclipse.jetty.http.HttpStatus
import org.eclipse.jetty.io.EndPoint
import sycamore.daemon.ResponseReceiver
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.TimeSource

/**
 * An HTTP/1.1 connection to a server that reports how much it was used. It is closed once the server has sent bytes that
 * belong to no request, since the responses that follow on it may belong to others.
 *
 * @param onStrayBytes called once when the server has sent such bytes: after a complete response, or while no request
 *   was in progress.
 */
internal class ClientConnection(
    endPoint: EndPoint,
    context: Map<String, Any>,
    time: TimeSource,
    private val onStrayBytes: (ClientConnection) -> Unit,
) : HttpConnectionOverHTTP(endPoint, context) {
    private val openedAt = time.markNow()
    private val hasStrayBytes = AtomicBoolean()

    /** The number of bytes received since the last ones of a body. Jetty reads a connection by one thread at a time. */
    @Volatile
    private var bytesWithoutContent = 0L

    /** The use of this connection until now. */
    val use: ConnectionUse get() = ConnectionUse(messagesOut, openedAt.elapsedNow())

    /** Whether no request is in progress on this connection. */
    val isIdle: Boolean get() = httpChannel.httpExchange == null

    override fun newHttpChannel(): HttpChannelOverHTTP = Channel()

    override fun addBytesIn(count: Long) {
        super.addBytesIn(count)
        val exchange = httpChannel.httpExchange
        if (exchange == null) {
            close()
            reportStrayBytes()
            return
        }
        bytesWithoutContent += count
        if (bytesWithoutContent > MAX_BYTES_WITHOUT_CONTENT) {
            close(IOException("$bytesWithoutContent bytes of a response without any of its body"))
        }
    }

    override fun release() = if (hasStrayBytes.get()) close() else super.release()

    private fun reportStrayBytes() {
        if (hasStrayBytes.compareAndSet(false, true)) onStrayBytes(this)
    }

    private inner class Channel : HttpChannelOverHTTP(this) {
        override fun newHttpReceiver(): HttpReceiverOverHTTP = Receiver(this)
    }

    private inner class Receiver(
        channel: HttpChannelOverHTTP,
    ) : ResponseReceiver(channel) {
        override fun content(buffer: ByteBuffer): Boolean {
            bytesWithoutContent = 0
            return super.content(buffer)
        }

        override fun messageComplete(): Boolean {
            bytesWithoutContent = 0
            val isComplete = super.messageComplete()
            // Jetty discards these bytes and keeps the connection.
            if (isComplete && !isInterim && responseBuffer.hasRemaining()) reportStrayBytes()
            return isComplete
        }

        private val isInterim: Boolean get() = HttpStatus.isInterim(httpExchange.response.status)
    }

    private companion object {
        /**
         * Limits a response that goes on without a body: an endless chunk size, for example. Above the limit of a head,
         * and what is read at once after it.
         */
        const val MAX_BYTES_WITHOUT_CONTENT = 2L * UpstreamClient.MAX_HEAD_BYTES
    }
}
