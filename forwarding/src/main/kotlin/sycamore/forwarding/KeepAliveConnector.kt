package sycamore.forwarding

import jdk.net.ExtendedSocketOptions
import org.eclipse.jetty.io.ClientConnector
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.util.ssl.SslContextFactory
import java.net.StandardSocketOptions
import java.nio.channels.NetworkChannel
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel

/**
 * Enables TCP keep-alive probes on all connections, and makes a lost connection distinguishable from a closed one. A
 * connection whose peer failed without closing it cannot be detected in any other way than by probes.
 */
internal class KeepAliveConnector : ClientConnector() {
    override fun newSslContextFactory(): SslContextFactory.Client = UnusedTls()

    /**
     * Skips the set-up of TLS. No connection uses it, and loading the JVM's certificates takes a tenth of a daemon's
     * start.
     */
    private class UnusedTls : SslContextFactory.Client() {
        override fun doStart() = Unit

        override fun doStop() = Unit
    }

    override fun newEndPoint(
        channel: SelectableChannel,
        selector: ManagedSelector,
        key: SelectionKey,
    ): EndPoint = ResetDetectingEndPoint(channel as SocketChannel, selector, key, scheduler)

    override fun configure(channel: SelectableChannel) {
        super.configure(channel)
        val socket = channel as? NetworkChannel ?: return
        socket.setOption(StandardSocketOptions.SO_KEEPALIVE, true)
        socket.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, PROBE_INTERVAL_SECONDS)
        socket.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, PROBE_INTERVAL_SECONDS)
        socket.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, UNANSWERED_PROBES_LIMIT)
    }

    companion object {
        /** The idle time before the first probe, and the interval between probes. */
        private const val PROBE_INTERVAL_SECONDS = 1

        /** A connection is closed after this many probes without a response. */
        private const val UNANSWERED_PROBES_LIMIT = 2

        /**
         * Size of the cache of header fields that Jetty has for each connection, on both sides. The fields of calls differ from one
         * call to the next, so a cache would only take memory, some tens of kilobytes for each connection.
         */
        const val NO_HEADER_CACHE = 0
    }
}
