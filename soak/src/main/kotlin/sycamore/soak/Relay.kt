package sycamore.soak

import sycamore.model.Address
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/**
 * Relays connections accepted at [at] to [target]. Connections can be silenced: they stay open, and what is sent on them is
 * discarded.
 */
internal class Relay(
    at: Address,
    private val target: Address,
) : AutoCloseable {
    private class Pipe(
        val near: Socket,
        val far: Socket,
    ) {
        @Volatile
        var isSilent = false

        fun close() = listOf(near, far).forEach(Socket::close)
    }

    private val listener = ServerSocket(at.port, BACKLOG, InetAddress.getByName(at.ip))
    private val pipes: MutableSet<Pipe> = ConcurrentHashMap.newKeySet()

    init {
        thread(isDaemon = true) { accept() }
    }

    /** Silences those of the connections that are open now for which [isSelected] returns true. */
    fun silence(isSelected: () -> Boolean) = pipes.forEach { if (isSelected()) it.isSilent = true }

    override fun close() {
        listener.close()
        pipes.forEach(Pipe::close)
    }

    private fun accept() {
        while (true) {
            val near =
                try {
                    listener.accept()
                } catch (e: SocketException) {
                    if (listener.isClosed) return
                    throw e
                }
            connect(near)
        }
    }

    private fun connect(near: Socket) {
        val far =
            try {
                Socket(target.ip, target.port)
            } catch (_: IOException) {
                // The caller sees that the target refuses connections.
                return near.close()
            }
        val pipe = Pipe(near, far).also { pipes += it }
        thread(isDaemon = true) {
            copy(pipe, near, far)
            pipe.close()
            pipes -= pipe
        }
        thread(isDaemon = true) {
            copy(pipe, far, near)
            // A silenced connection does not pass on its end either.
            if (!pipe.isSilent) pipe.close()
        }
    }

    private fun copy(
        pipe: Pipe,
        from: Socket,
        to: Socket,
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                if (!pipe.isSilent) to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // One of the two ends is gone.
        }
    }

    private companion object {
        const val BACKLOG = 50
        const val BUFFER_BYTES = 16 * 1024
    }
}
