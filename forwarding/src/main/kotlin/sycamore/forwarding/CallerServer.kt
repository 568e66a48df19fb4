package sycamore.forwarding

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.QueuedThreadPool
import sycamore.daemon.Program
import sycamore.model.Address
import sycamore.routing.CallerLimits
import java.net.InetSocketAddress
import java.nio.channels.ServerSocketChannel
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration.Companion.milliseconds

/** Serves one request. It is cancelled when the caller closes its connection. */
typealias ServeCaller = suspend (CallerExchange) -> Unit

/**
 * An HTTP/1.1 server that serves each request in a coroutine.
 *
 * @param listener the socket on which callers connect; see [listen].
 * @param limits returns the current limits of callers. The header limit is applied at the start of the server, the idle
 *   timeout at each request.
 */
class CallerServer(
    private val listener: ServerSocketChannel,
    private val limits: () -> CallerLimits,
    context: CoroutineContext,
    private val serve: ServeCaller,
) : AutoCloseable {
    private val scope = CoroutineScope(context + SupervisorJob(context[Job]))
    private val server = Server(QueuedThreadPool(MAX_THREADS, MIN_THREADS))
    private val openRequests = OpenRequests<EndPoint>()
    private val http =
        HttpConfiguration().apply {
            sendServerVersion = false
            headerCacheSize = KeepAliveConnector.NO_HEADER_CACHE
        }
    private val connector = ServerConnector(server, 1, 1, HttpConnectionFactory(http))

    /** Whether connections are closed after the next response that starts on them. */
    @Volatile
    private var isDraining = false

    /** Starts to accept connections. */
    fun start(): CallerServer =
        apply {
            connector.open(listener)
            connector.idleTimeout = limits().idleTimeout.inWholeMilliseconds
            http.requestHeaderSize = limits().headerBytes
            server.addConnector(connector)
            server.handler = CoroutineHandler()
            server.start()
        }

    /**
     * Announces in all responses that their connections close after them. Once [stop] is in its second phase, stops accepting
     * connections and closes those without an open request. Returns when all connections are closed.
     */
    suspend fun drain(stop: PlannedStop) {
        isDraining = true
        stop.awaitCallersLeave()
        connector.close()
        while (connector.connectedEndPoints.isNotEmpty()) {
            openRequests.closeIdle(connector.connectedEndPoints) { it.close() }
            delay(DRAIN_CHECK_INTERVAL)
        }
    }

    override fun close() {
        scope.cancel()
        server.stop()
    }

    private inner class CoroutineHandler : Handler.Abstract.NonBlocking() {
        override fun handle(
            request: Request,
            response: Response,
            callback: Callback,
        ): Boolean {
            val endPoint = request.connectionMetaData.connection.endPoint
            endPoint.idleTimeout = limits().idleTimeout.inWholeMilliseconds
            val exchange = CallerExchange(request, response, callback) { isDraining }
            if (!openRequests.begin(endPoint)) {
                exchange.abort("the connection is being closed")
                return true
            }
            val job = scope.launch(start = CoroutineStart.LAZY) { serveOrAbort(exchange) }
            job.invokeOnCompletion { openRequests.end(endPoint) }
            job.start()
            return true
        }
    }

    private suspend fun serveOrAbort(exchange: CallerExchange) {
        try {
            serve(exchange)
            exchange.abort("the request was not answered")
        } catch (e: CancellationException) {
            exchange.abort("the caller left")
            throw e
        } catch (e: Exception) {
            log.debug(e) { "serving a request failed" }
            exchange.abort("serving the request failed: ${e.message}")
        }
    }

    companion object {
        private val log = KotlinLogging.logger {}

        private val DRAIN_CHECK_INTERVAL = 20.milliseconds

        /** Threads for network reads and writes. Requests that wait occupy no thread. */
        private const val MAX_THREADS = 16
        private const val MIN_THREADS = 4

        /**
         * Listens on [address]. Callers can connect from then on, and their requests wait until a server starts.
         * Otherwise they would be refused while the daemon starts, and give up after a few attempts.
         */
        fun listen(address: Address): ServerSocketChannel =
            Program.listeningOn(address) { EarlyStart.open(InetSocketAddress(address.ip, address.port)) }
    }
}
