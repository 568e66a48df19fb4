package sycamore.daemon

import org.eclipse.jetty.server.Server
import org.http4k.server.Http4kServer

/** An http4k server backed by a Jetty server whose handler and connectors are already set. */
internal class JettyServer(
    private val server: Server,
) : Http4kServer {
    override fun start(): Http4kServer = apply { server.start() }

    override fun stop(): Http4kServer = apply { server.stop() }

    override fun port(): Int = server.uri.port
}
