package sycamore.forwarding

import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP
import org.eclipse.jetty.io.Connection
import org.eclipse.jetty.io.EndPoint
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.TimeSource

/**
 * A transport of HTTP/1.1 whose connections are [ClientConnection]s with TCP keep-alive probes.
 *
 * @param onStrayBytes see [ClientConnection].
 */
internal class ClientTransport(
    private val time: TimeSource = TimeSource.Monotonic,
    private val onStrayBytes: (ClientConnection) -> Unit,
) : HttpClientTransportOverHTTP(KeepAliveConnector()) {
    init {
        headerCacheSize = KeepAliveConnector.NO_HEADER_CACHE
    }

    private val connections = ConcurrentHashMap.newKeySet<ClientConnection>()

    override fun newConnection(
        endPoint: EndPoint,
        context: Map<String, Any>,
    ): Connection {
        val connection = ClientConnection(endPoint, context, time, onStrayBytes)
        connections += connection
        connection.addEventListener(CloseListener { connections -= connection })
        return customize(connection, context)
    }

    /** Closes the connections without a request in progress. The next requests are sent on new ones. */
    fun closeIdleConnections() = connections.filter { it.isIdle }.forEach { it.close() }

    private class CloseListener(
        private val onClosed: () -> Unit,
    ) : Connection.Listener {
        override fun onClosed(connection: Connection) = onClosed()
    }
}
