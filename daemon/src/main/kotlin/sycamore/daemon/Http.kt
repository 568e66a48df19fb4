package sycamore.daemon

import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.http4k.client.JettyClient
import org.http4k.core.BodyMode
import org.http4k.core.HttpHandler
import org.http4k.server.Http4kServer
import sycamore.model.Address

/** HTTP servers and clients as every process of the system sets them up. */
object Http {
    private const val MAX_THREADS = 512
    private const val MIN_THREADS = 4

    /** A client whose answers are read as they come. */
    fun client(): HttpHandler = JettyClient(bodyMode = BodyMode.Stream)

    /** Starts serving [handler] on [address]. Port 0 takes a free one. */
    fun serve(
        address: Address,
        handler: HttpHandler,
    ): Http4kServer {
        val server = Server(QueuedThreadPool(MAX_THREADS, MIN_THREADS))
        val connector = ServerConnector(server, 1, 1)
        connector.host = address.ip
        connector.port = address.port
        server.addConnector(connector)
        server.handler = JettyHandler(handler)
        return JettyServer(server).start()
    }
}
