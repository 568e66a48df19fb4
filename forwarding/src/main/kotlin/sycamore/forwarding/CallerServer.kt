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
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration.Companion.milliseconds

/** Serves one request. It is cancelled when the caller leaves. */
typealias ServeCaller = suspend (CallerExchange) -> Unit

/**
 * An HTTP/1.1 server whose requests are served by coroutines.
 *
 * @param limits of callers, asked for each connection and request.
 */
class CallerServer(
    private val address: Address,
    private val limits: () -> CallerLimits,
    context: CoroutineContext,
    private val serve: ServeCaller,
) : AutoCloseable {
    private val scope = CoroutineScope(context + SupervisorJob(context[Job]))
    private val server = Server(QueuedThreadPool(MAX_THREADS, MIN_THREADS))
    private val open = OpenRequests<EndPoint>()
    private val http = HttpConfiguration().apply { sendServerVersion = false }
    private val connector = ServerConnector(server, 1, 1, HttpConnectionFactory(http))

    /** Whether connections are closed behind their next answer. */
    @Volatile
    var isLeaving = false

    /** Begins to listen. */
    fun start(): CallerServer =
        apply {
            connector.host = address.ip
            connector.port = address.port
            connector.acceptQueueSize = ACCEPT_QUEUE
            connector.idleTimeout = limits().idleTimeout.inWholeMilliseconds
            http.requestHeaderSize = limits().headerBytes
            server.addConnector(connector)
            server.handler = CoroutineHandler()
            Program.listeningOn(address) { server.start() }
        }

    /** Accepts no more connections, closes those without a request, and returns when the last one has ended. */
    suspend fun leave() {
        isLeaving = true
        connector.close()
        while (connector.connectedEndPoints.isNotEmpty()) {
            open.closeIdle(connector.connectedEndPoints).forEach { it.close() }
            delay(CHECK)
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
            val exchange = CallerExchange(request, response, callback)
            if (isLeaving) exchange.closeAfterwards()
            if (!open.begin(endPoint)) {
                exchange.cut("the connection is being closed")
                return true
            }
            val job = scope.launch(start = CoroutineStart.LAZY) { attempt(exchange) }
            job.invokeOnCompletion { open.end(endPoint) }
            job.start()
            return true
        }
    }

    private suspend fun attempt(exchange: CallerExchange) {
        try {
            serve(exchange)
            exchange.cut("the request was not answered")
        } catch (e: CancellationException) {
            exchange.cut("the caller left")
            throw e
        } catch (e: Exception) {
            log.debug(e) { "a request broke off" }
            exchange.cut("the request broke off: ${e.message}")
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}

        val CHECK = 20.milliseconds

        /** Threads for reading and writing; requests themselves hold none. */
        const val MAX_THREADS = 16
        const val MIN_THREADS = 4

        /** Connections that wait to be accepted. Many callers come at once after an outage. */
        const val ACCEPT_QUEUE = 1024
    }
}
