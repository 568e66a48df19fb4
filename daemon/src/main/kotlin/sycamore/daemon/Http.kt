package sycamore.daemon

import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.http.HttpCookieStore
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.NetworkConnectionLimit
import org.eclipse.jetty.server.SecureRequestCustomizer
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.server.SslConnectionFactory
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.http4k.client.JettyClient
import org.http4k.core.BodyMode
import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Http4kServer
import sycamore.model.Address

/** HTTP servers and clients as every process of the system sets them up. */
object Http {
    private const val SPARE_THREADS = 64
    private const val MIN_THREADS = 4

    /** Connections above the limit that are still accepted, so that requests on them can be told why they are refused. */
    private const val SPARE_CONNECTIONS = 64

    /** A caller that sends its body slower than this is cut off. */
    private const val MIN_REQUEST_BYTES_PER_SECOND = 64L

    /** Connections to one server; each carries one request at a time. */
    private const val MAX_CONNECTIONS_PER_SERVER = 1_024

    /** A client whose answers are read as they come. It follows no redirects and keeps no cookies. */
    fun client(): HttpHandler {
        val client =
            HttpClient().apply {
                isFollowRedirects = false
                httpCookieStore = HttpCookieStore.Empty()
                maxConnectionsPerDestination = MAX_CONNECTIONS_PER_SERVER
            }
        return JettyClient(client, bodyMode = BodyMode.Stream)
    }

    /**
     * Starts serving [handler] on [address]. Port 0 takes a free one.
     *
     * @param tls the certificate to show; null serves without TLS.
     * @param refuse answers requests beyond [limits].
     */
    fun serve(
        address: Address,
        handler: HttpHandler,
        limits: HttpLimits = HttpLimits(),
        tls: Tls? = null,
        refuse: RefuseRequest = ::plainRefusal,
    ): Http4kServer {
        val server = Server(QueuedThreadPool(limits.requests + SPARE_THREADS, MIN_THREADS))
        val connections = OpenConnections()
        server.addConnector(connector(server, address, limits, tls).apply { addBean(connections) })
        server.addBean(NetworkConnectionLimit(limits.connections + SPARE_CONNECTIONS, server))
        server.handler = RequestGuard(limits, connections, refuse, JettyHandler(handler))
        server.errorHandler = RefusedByServer(limits, refuse)
        return Program.listeningOn(address) { JettyServer(server).start() }
    }

    private fun connector(
        server: Server,
        address: Address,
        limits: HttpLimits,
        tls: Tls?,
    ): ServerConnector {
        val http = HttpConnectionFactory(configuration(limits, isSecure = tls != null))
        val connector =
            if (tls == null) {
                ServerConnector(server, 1, 1, http)
            } else {
                ServerConnector(server, 1, 1, SslConnectionFactory(tls.factory, http.protocol), http)
            }
        connector.host = address.ip
        connector.port = address.port
        connector.idleTimeout = limits.idle.inWholeMilliseconds
        return connector
    }

    private fun configuration(
        limits: HttpLimits,
        isSecure: Boolean,
    ): HttpConfiguration =
        HttpConfiguration().apply {
            requestHeaderSize = limits.headerBytes.toInt()
            minRequestDataRate = MIN_REQUEST_BYTES_PER_SECOND
            sendServerVersion = false
            if (isSecure) addCustomizer(SecureRequestCustomizer(false))
        }

    private fun plainRefusal(
        status: Int,
        detail: String,
    ): Response = Response(Status(status, null)).header("content-type", "text/plain").body("$detail\n")
}
