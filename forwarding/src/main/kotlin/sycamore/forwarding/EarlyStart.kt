package sycamore.forwarding

import sycamore.model.Address
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.ServerSocketChannel

/**
 * The steps of a daemon's start that come before it reads its command line and its settings, and before it loads the classes for that.
 *
 * A host that is back after a power failure refuses connections until the daemon listens. Callers give up after a few refused attempts,
 * while a connection that waits is served.
 */
object EarlyStart {
    /** The environment variable with the address on which callers connect, such as `10.1.0.38:8149`. */
    const val CALLERS_VARIABLE = "SYCAMORE_CALLERS"

    private val PORTS = 1..65_535

    /** The length of the accept queue. Many callers connect at once after an outage. */
    private const val MAX_PENDING_CONNECTIONS = 1024

    /**
     * Listens on the address [text], and handles SIGHUP from now on.
     *
     * Returns null without an address, or if it cannot be listened on. The daemon then listens once its settings are read, and reports
     * why it cannot.
     */
    fun listen(text: String? = System.getenv(CALLERS_VARIABLE)): ServerSocketChannel? {
        ReloadSignal.handle()
        val port = text?.substringAfterLast(':', "")?.toIntOrNull()?.takeIf { it in PORTS } ?: return null
        return try {
            open(InetSocketAddress(text.substringBeforeLast(':'), port))
        } catch (_: IOException) {
            null
        }
    }

    /** Returns [early] if it listens on [address]; closes it otherwise, and listens on [address]. */
    fun confirm(
        early: ServerSocketChannel?,
        address: Address,
    ): ServerSocketChannel {
        if (early?.localAddress == InetSocketAddress(address.ip, address.port)) return early
        early?.close()
        return CallerServer.listen(address)
    }

    internal fun open(address: InetSocketAddress): ServerSocketChannel =
        ServerSocketChannel
            .open()
            .setOption(StandardSocketOptions.SO_REUSEADDR, true)
            .bind(address, MAX_PENDING_CONNECTIONS)
}
