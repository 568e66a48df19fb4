package sycamore.links

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.model.Address
import sycamore.model.HostName
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** Accepts links from other daemons over TCP and answers their messages. */
class LinkServer private constructor(
    private val address: Address,
    private val acceptor: LinkAcceptor,
    private val maxConnections: Int,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    /** The bytes sent and received on all links. */
    val traffic = LinkTraffic()

    private val socket = LinkLoop.shared.listen(address, BACKLOG, traffic, ::accept)

    /** The TCP port on which links are accepted. */
    val port: Int = socket.socket().localPort

    init {
        scope.launch { acceptor.monitor() }
    }

    private fun accept(pipe: Pipe) {
        if (acceptor.connections >= maxConnections) {
            log.warn { "connection to $address closed: $maxConnections connections are open already" }
            pipe.close()
        } else {
            scope.launch { acceptor.run(pipe) }
        }
    }

    /** Rejects new exchanges, waits up to [timeout] for those in progress to end, then closes the server. */
    suspend fun leave(timeout: Duration) {
        acceptor.leave(timeout)
        withTimeoutOrNull(CLOSE_TIMEOUT) { while (acceptor.connections > 0) delay(CLOSE_POLL_INTERVAL) }
        close()
    }

    override fun close() {
        scope.cancel()
        socket.close()
        // A selector releases a closed socket only in its next round, which this task triggers.
        LinkLoop.shared.execute { }
    }

    companion object {
        /**
         * Listens on [address] as the daemon named [self], and passes messages to [serve]. Port 0 selects a free port.
         */
        fun listen(
            self: HostName,
            address: Address,
            keys: LinkKeys = LinkKeys.NONE,
            bounds: LinkBounds = LinkBounds(),
            serve: MessageHandler,
        ): LinkServer {
            val acceptor = LinkAcceptor(Handshake(self, keys), bounds, TimeSource.Monotonic, serve)
            return LinkServer(address, acceptor, bounds.maxConnections)
        }

        private const val BACKLOG = 1_024

        /** How long to wait for the links to end after they were closed. */
        private val CLOSE_TIMEOUT = 2.seconds

        private val CLOSE_POLL_INTERVAL = 10.milliseconds
    }
}

/** Runs the accepting ends of links, over pipes of any kind. */
internal class LinkAcceptor(
    private val handshake: Handshake,
    private val bounds: LinkBounds,
    private val time: TimeSource,
    private val handler: MessageHandler,
) {
    private val links = ConcurrentHashMap.newKeySet<AnsweringLink>()
    private val pipes = ConcurrentHashMap.newKeySet<Pipe>()

    @Volatile
    private var isLeaving = false

    /** The number of open connections, including those whose handshake is not completed. */
    val connections: Int get() = pipes.size

    /** Checks the links periodically until cancelled. */
    suspend fun monitor() = LinkMonitor(bounds, time).run { wasPaused -> links.forEach { it.check(wasPaused) } }

    /** Runs the link over [pipe] until it is lost. */
    suspend fun run(pipe: Pipe) {
        pipes += pipe
        try {
            val peer = withTimeoutOrNull(bounds.handshakeTimeout) { handshake.accept(pipe) }
            if (peer == null) {
                log.debug { "connection closed: no handshake within ${bounds.handshakeTimeout}" }
            } else {
                run(pipe, peer)
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: LinkRefusedException) {
            log.warn { "link refused: ${e.message}" }
        } catch (e: Exception) {
            log.debug { "connection closed before its handshake was completed: ${e.message}" }
        } finally {
            pipes -= pipe
            pipe.close()
        }
    }

    private suspend fun run(
        pipe: Pipe,
        peer: Peer,
    ) {
        val link = AnsweringLink(pipe, peer.name, bounds, time, handler)
        links += link
        try {
            if (isLeaving) link.leave()
            val reason = link.run()
            log.debug { "link from ${peer.name} closed: $reason" }
        } finally {
            links -= link
        }
    }

    /** Rejects new exchanges, waits up to [timeout] for those in progress to end, then closes the links. */
    suspend fun leave(timeout: Duration) {
        isLeaving = true
        links.forEach { it.leave() }
        withTimeoutOrNull(timeout) { while (links.any { it.isBusy }) delay(BUSY_POLL_INTERVAL) }
        links.forEach { it.close("this daemon has left") }
    }

    private companion object {
        val BUSY_POLL_INTERVAL = 20.milliseconds
    }
}
