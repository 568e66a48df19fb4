package sycamore.forwarding

import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP
import org.eclipse.jetty.io.Connection
import org.eclipse.jetty.io.EndPoint
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

    override fun newConnection(
        endPoint: EndPoint,
        context: Map<String, Any>,
    ): Connection = customize(ClientConnection(endPoint, context, time, onStrayBytes), context)
}
