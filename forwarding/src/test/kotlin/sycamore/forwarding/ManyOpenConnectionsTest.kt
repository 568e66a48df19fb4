package sycamore.forwarding

import kotlinx.coroutines.Dispatchers
import sycamore.model.Address
import sycamore.routing.CallerLimits
import java.net.ServerSocket
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against gateways that run out of memory while callers only keep connections open: each connection held a cache of the
 * header fields that had been read on it.
 */
class ManyOpenConnectionsTest {
    private val address = Address("127.0.0.1", ServerSocket(0).use { it.localPort })
    private val limits = CallerLimits(16_384, 4_194_304, headerTimeout = 3.seconds, idleTimeout = 60.seconds)

    @Test
    fun `as many callers as a host has descriptors for fit into the heap`() {
        val serve: ServeCaller = { it.respond(200, emptyList(), "ok".encodeToByteArray()) }
        CallerServer(CallerServer.listen(address), { limits }, Dispatchers.Default, serve).start().use {
            val first = connect(0)
            val before = usedBytes()
            val connections = (1..CONNECTIONS).map(::connect)
            val perConnection = (usedBytes() - before) / CONNECTIONS
            (connections + first).forEach { it.close() }
            assertTrue(perConnection < HEAP_BYTES / DESCRIPTORS, "$perConnection bytes for a connection")
        }
    }

    /** Opens a connection and sends two requests on it, with headers that are different each time. */
    private fun connect(number: Int): Socket {
        val socket = Socket(address.ip, address.port)
        repeat(2) { call ->
            val head =
                "GET /c HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r$number-$call\r\n" +
                    "X-Deadline-Ms: ${4000 - call}\r\nX-Program-Id: p$number\r\n\r\n"
            socket.getOutputStream().write(head.encodeToByteArray())
            val answer = StringBuilder()
            while (!answer.endsWith("ok")) answer.append(socket.getInputStream().read().toChar())
        }
        return socket
    }

    private fun usedBytes(): Long {
        repeat(3) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    private companion object {
        const val CONNECTIONS = 500

        /** Descriptors of a host on which gateways run, and the heap that `deploy/system.toml` gives a gateway. */
        const val DESCRIPTORS = 4_100
        const val HEAP_BYTES = 96L * 1024 * 1024
    }
}
