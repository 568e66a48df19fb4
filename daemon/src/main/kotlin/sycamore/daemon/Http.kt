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

/** Creates the HTTP servers and clients of all processes of the system, with common settings. */
object Http {
    /** Threads above the limit of requests in progress, for the server itself and for requests that it refuses. */
    private const val SPARE_THREADS = 64
    private const val MIN_THREADS = 4

    /** Connections accepted above the limit, so that requests on them get a response with the reason of the refusal. */
    private const val SPARE_CONNECTIONS = 64

    /** Minimum rate of a request body; the connection of a caller that sends more slowly is closed. */
    private const val MIN_REQUEST_BYTES_PER_SECOND = 64L

    /** Upper bound of the connections to one server; each carries one request at a time. */
    private const val MAX_CONNECTIONS_PER_SERVER = 1_024

    /** Returns a client that streams response bodies, follows no redirects and stores no cookies. */
    fun client(): HttpHandler {
        val client =
            HttpClient(ResponseTransport()).apply {
                isFollowRedirects = false
                httpCookieStore = HttpCookieStore.Empty()
                maxConnectionsPerDestination = MAX_CONNECTIONS_PER_SERVER
                start()
                InterimResponses.skip(this)
            }
        return JettyClient(client, bodyMode = BodyMode.Stream)
    }

    /**
     * Starts a server for [handler] on [address]. Port 0 selects a free port.
     *
     * @param tls the certificate to present; null serves without TLS.
     * @param refuse builds the response to a request that exceeds [limits].
     */
    fun serve(
        address: Address,
        handler: HttpHandler,
        limits: HttpLimits = HttpLimits(),
        tls: Tls? = null,
        refuse: RefusalBuilder = ::plainRefusal,
    ): Http4kServer {
        val server = Server(QueuedThreadPool(limits.requests + SPARE_THREADS, MIN_THREADS))
        val connections = OpenConnections()
        server.addConnector(connector(server, address, limits, tls).apply { addBean(connections) })
        server.addBean(NetworkConnectionLimit(limits.connections + SPARE_CONNECTIONS, server))
        server.handler = RequestGuard(limits, connections, refuse, JettyHandler(handler))
        server.errorHandler = RefusalErrorHandler(limits, refuse)
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
        connector.idleTimeout = limits.idleTimeout.inWholeMilliseconds
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
