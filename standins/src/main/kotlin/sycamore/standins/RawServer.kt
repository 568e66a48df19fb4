package sycamore.standins

import sycamore.model.Address
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** How a [RawServer] ends a connection. */
enum class ConnectionEnd {
    /** The end of the stream (FIN), after all bytes that were written. */
    CLOSE,

    /** A reset (RST). */
    RESET,
}

/**
 * A server on loopback that writes prepared bytes as its response to each request, whether they are valid HTTP or not,
 * and then ends the connection.
 *
 * @param end how the connection ends.
 * @param beforeEnd runs between the last byte and the end of the connection.
 * @param respond returns the bytes to write, given the head of the request.
 */
class RawServer(
    private val end: ConnectionEnd,
    private val beforeEnd: () -> Unit = {},
    private val respond: (head: String) -> ByteArray,
) : AutoCloseable {
    private val listener = ServerSocket(0, 0, InetAddress.getLoopbackAddress())

    /** Where the server listens. */
    val address = Address("127.0.0.1", listener.localPort)

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { socket.use(::serve) }
            }
        }
    }

    private fun serve(socket: Socket) {
        try {
            val head = readRequest(socket.getInputStream()) ?: return
            socket.getOutputStream().write(respond(head))
            beforeEnd()
            if (end == ConnectionEnd.RESET) socket.setSoLinger(true, 0)
        } catch (_: IOException) {
            // The client has closed the connection.
        }
    }

    /** Reads a request with its body, since a close with unread bytes would reset the connection. */
    private fun readRequest(input: InputStream): String? {
        val head = StringBuilder()
        while (!head.endsWith(END_OF_HEAD)) {
            val byte = input.read()
            if (byte < 0) return null
            head.append(byte.toChar())
        }
        val length = bodyLength.find(head)?.let { it.groupValues[1].toInt() } ?: 0
        input.readNBytes(length)
        return head.toString()
    }

    override fun close() = listener.close()

    private companion object {
        const val END_OF_HEAD = "\r\n\r\n"
        val bodyLength = Regex("(?i)\r\ncontent-length: *([0-9]+)\r\n")
    }
}
