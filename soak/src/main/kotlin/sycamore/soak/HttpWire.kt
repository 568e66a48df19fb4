package sycamore.soak

import sycamore.platform.Header
import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.IOException
import java.io.InputStream

/** The start line and the headers of an HTTP/1.1 message. */
internal class MessageHead(
    val startLine: String,
    val headers: List<Header>,
) {
    val status: Int get() = startLine.split(' ').getOrNull(1)?.toIntOrNull() ?: 0

    fun header(name: String): String? = headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second
}

/**
 * A response as it was received.
 *
 * @property isComplete whether the body ended as its framing states.
 */
internal class ReceivedResponse(
    val head: MessageHead,
    val body: ByteArray,
    val isComplete: Boolean,
)

/** Reads HTTP/1.1 messages from a bare socket's [input]. */
internal class HttpWire(
    private val input: InputStream,
) {
    /** Reads a request; null if the connection ended before its first byte. */
    fun readRequest(): Pair<MessageHead, ByteArray>? {
        val head = readHead() ?: return null
        val body = ByteArrayOutputStream()
        if (isChunked(head)) readChunks(body) else readBytes(head.header("Content-Length")?.toInt() ?: 0, body)
        return head to body.toByteArray()
    }

    /** Reads a response; null if the connection ended before its head was complete. */
    fun readResponse(): ReceivedResponse? {
        var head: MessageHead
        do head = readHead() ?: return null while (head.status in INTERIM_STATUSES)
        val body = ByteArrayOutputStream()
        val length = head.header("Content-Length")?.toInt()
        val isComplete =
            try {
                when {
                    isChunked(head) -> readChunks(body)
                    length != null -> readBytes(length, body)
                    else -> input.copyTo(body)
                }
                true
            } catch (_: IOException) {
                false
            }
        return ReceivedResponse(head, body.toByteArray(), isComplete)
    }

    private fun isChunked(head: MessageHead) = head.header("Transfer-Encoding")?.contains("chunked", true) == true

    private fun readHead(): MessageHead? {
        val first = input.read()
        if (first < 0) return null
        val start = first.toChar() + readLine()
        val headers = ArrayList<Header>()
        while (true) {
            val line = readLine().ifEmpty { return MessageHead(start, headers) }
            headers += line.substringBefore(':') to line.substringAfter(':', "").trim()
        }
    }

    private fun readChunks(body: ByteArrayOutputStream) {
        while (true) {
            val line = readLine().substringBefore(';').trim()
            val size = line.toIntOrNull(HEXADECIMAL) ?: throw IOException("no chunk size: '$line'")
            if (size == 0) break
            readBytes(size, body)
            readLine()
        }
        while (readLine().isNotEmpty()) Unit
    }

    private fun readBytes(
        count: Int,
        body: ByteArrayOutputStream,
    ) {
        var left = count
        val buffer = ByteArray(BUFFER_BYTES)
        while (left > 0) {
            val read = input.read(buffer, 0, minOf(left, buffer.size))
            if (read < 0) throw EOFException("$left bytes of the body are missing")
            body.write(buffer, 0, read)
            left -= read
        }
    }

    private fun readLine(): String {
        val line = StringBuilder()
        while (true) {
            val byte = input.read()
            if (byte < 0) throw EOFException("the connection ended inside a line")
            if (byte == '\n'.code) return line.removeSuffix("\r").toString()
            line.append(byte.toChar())
        }
    }

    companion object {
        private const val HEXADECIMAL = 16
        private const val BUFFER_BYTES = 8192
        private val INTERIM_STATUSES = 100..199

        /** Encodes a message with [body] after [startLine] and [headers], which contain the framing. */
        fun encode(
            startLine: String,
            headers: List<Header>,
            body: ByteArray,
        ): ByteArray {
            val head = (listOf(startLine) + headers.map { "${it.first}: ${it.second}" }).joinToString("\r\n")
            return "$head\r\n\r\n".encodeToByteArray() + body
        }
    }
}
