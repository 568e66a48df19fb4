package sycamore.daemon

import org.eclipse.jetty.server.Server
import org.http4k.server.Http4kServer

/** A Jetty server whose handler and connectors are set. */
internal class JettyServer(
    private val server: Server,
) : Http4kServer {
    override fun start(): Http4kServer = apply { server.start() }

    override fun stop(): Http4kServer = apply { server.stop() }

    override fun port(): Int = server.uri.port
}
