package sycamore.standins

import sycamore.model.Address
import java.io.InputStream
import java.io.OutputStream
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * A request as [SocketUpstream] read it.
 *
 * @property connection the number of its connection, from 0 in the order of acceptance.
 * @property index its number on that connection, from 0.
 */
class SocketRequest(
    val head: String,
    val connection: Int,
    val index: Int,
) {
    /** The value of header [name]; empty if it is missing. */
    fun header(name: String): String =
        head
            .lineSequence()
            .firstOrNull { it.startsWith("$name:", ignoreCase = true) }
            ?.substringAfter(':')
            ?.trim()
            .orEmpty()
}

/**
 * An upstream on loopback that writes the bytes of its responses itself, so that it can break the protocol.
 *
 * @param respond writes the response to a request, or whatever else the upstream sends in its place. It is called by
 *   one thread for each connection; the connection is closed if it throws [SocketException].
 */
class SocketUpstream(
    private val respond: (request: SocketRequest, out: OutputStream) -> Unit,
) : AutoCloseable {
    private val listener = ServerSocket(0)
    private val sockets = CopyOnWriteArrayList<Socket>()

    /** All requests that were read, in the order of arrival. */
    val requests = CopyOnWriteArrayList<SocketRequest>()

    /** The address at which connections are accepted. */
    val address = Address("127.0.0.1", listener.localPort)

    init {
        thread(isDaemon = true) { accept() }
    }

    private fun accept() {
        while (true) {
            val socket =
                try {
                    listener.accept()
                } catch (_: SocketException) {
                    return
                }
            val connection = sockets.size
            sockets += socket
            thread(isDaemon = true) { socket.use { serve(it, connection) } }
        }
    }

    private fun serve(
        socket: Socket,
        connection: Int,
    ) {
        try {
            val input = socket.getInputStream().buffered()
            var index = 0
            while (true) {
                val head = readHead(input) ?: return
                val request = SocketRequest(head, connection, index++)
                input.readNBytes(request.header("Content-Length").toIntOrNull() ?: 0)
                requests += request
                respond(request, socket.getOutputStream())
            }
        } catch (_: SocketException) {
            // The peer or the test has closed the connection.
        }
    }

    /** Reads a head with the empty line that ends it. Returns null at the end of the connection. */
    private fun readHead(input: InputStream): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return null
            head.append(byte.toChar())
        }
        return head.toString()
    }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
    }

    companion object {
        /** Encodes a response whose body has a declared length. */
        fun response(
            status: Int,
            headers: List<Pair<String, String>>,
            body: String = "",
        ): ByteArray {
            val fields = headers + ("Content-Length" to body.length.toString())
            val head = fields.joinToString("") { (name, value) -> "$name: $value\r\n" }
            return "HTTP/1.1 $status Status\r\n$head\r\n$body".encodeToByteArray()
        }
    }
}
