package sycamore.links

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import sycamore.model.Address
import java.io.IOException

/** Two byte streams to one peer, cut into frames. One reader and one writer at a time. */
internal class Pipe(
    private val reader: ByteReadChannel,
    private val writer: ByteWriteChannel,
    private val traffic: LinkTraffic = LinkTraffic(),
    private val onClose: () -> Unit,
) {
    /** Reads one frame of at most [limit] bytes. */
    suspend fun read(limit: Int): ByteArray {
        val size = reader.readInt()
        if (size !in 1..limit) throw ProtocolException("expected a frame of 1 to $limit bytes, found $size")
        return reader.readByteArray(size).also { traffic.received(size + LENGTH_BYTES) }
    }

    /** Writes one frame and sends it off. */
    suspend fun write(frame: ByteArray) {
        put(frame)
        flush()
    }

    /** Writes one frame, which may wait for [flush]. */
    suspend fun put(frame: ByteArray) {
        writer.writeInt(frame.size)
        writer.writeByteArray(frame)
        traffic.sent(frame.size + LENGTH_BYTES)
    }

    /** Sends off what was written. */
    suspend fun flush() = writer.flush()

    /** Ends both directions at once. A [read] that waits fails: closing the socket alone does not always wake it. */
    fun close() {
        onClose()
        reader.cancel(IOException("the connection was closed"))
    }

    companion object {
        private const val LENGTH_BYTES = 4

        /** A pipe over [socket]. */
        fun of(
            socket: Socket,
            traffic: LinkTraffic,
        ): Pipe = Pipe(socket.openReadChannel(), socket.openWriteChannel(), traffic) { socket.close() }
    }
}

/** Opens a pipe to the daemon at an address. */
internal typealias Dial = suspend (to: Address) -> Pipe

/** Dials over TCP. */
internal fun dialTcp(
    selector: SelectorManager,
    traffic: LinkTraffic,
): Dial =
    { to ->
        val socket =
            aSocket(selector).tcp().connect(to.ip, to.port) {
                noDelay = true
                keepAlive = true
            }
        Pipe.of(socket, traffic)
    }
