package sycamore.forwarding

import jdk.net.ExtendedSocketOptions
import org.eclipse.jetty.io.ClientConnector
import org.eclipse.jetty.util.ssl.SslContextFactory
import java.net.StandardSocketOptions
import java.nio.channels.NetworkChannel
import java.nio.channels.SelectableChannel

/** Has the system probe connections, since those that went silent give no other sign. */
internal class ProbingConnector : ClientConnector() {
    override fun newSslContextFactory(): SslContextFactory.Client = UnusedTls()

    /** All connections are plain; to read the certificates of the JVM would take a tenth of a daemon's start. */
    private class UnusedTls : SslContextFactory.Client() {
        override fun doStart() = Unit

        override fun doStop() = Unit
    }

    override fun configure(channel: SelectableChannel) {
        super.configure(channel)
        val socket = channel as? NetworkChannel ?: return
        socket.setOption(StandardSocketOptions.SO_KEEPALIVE, true)
        socket.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, PROBE_SECONDS)
        socket.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, PROBE_SECONDS)
        socket.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, PROBES)
    }

    private companion object {
        /** A silent connection is given up after this long without traffic, and as often again for each probe. */
        const val PROBE_SECONDS = 1
        const val PROBES = 2
    }
}
