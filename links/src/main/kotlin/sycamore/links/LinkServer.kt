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

/** Accepts links from other daemons and answers their messages. */
class LinkServer private constructor(
    private val address: Address,
    private val acceptor: LinkAcceptor,
    private val maxConnections: Int,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    /** Bytes of all links. */
    val traffic = LinkTraffic()

    private val socket = LinkLoop.shared.listen(address, BACKLOG, traffic, ::accept)

    /** The TCP port that links are accepted on. */
    val port: Int = socket.socket().localPort

    init {
        scope.launch { acceptor.watch() }
    }

    private fun accept(pipe: Pipe) {
        if (acceptor.connections >= maxConnections) {
            log.warn { "a connection to $address is closed, since $maxConnections are open" }
            pipe.close()
        } else {
            scope.launch { acceptor.run(pipe) }
        }
    }

    /** Takes no new exchanges, waits up to [within] for those in progress to end, then closes. */
    suspend fun leave(within: Duration) {
        acceptor.leave(within)
        withTimeoutOrNull(LAST_LINKS) { while (acceptor.connections > 0) delay(CLOSE_CHECK) }
        close()
    }

    override fun close() {
        scope.cancel()
        socket.close()
        // The loop gives a closed socket back to the system when it runs next.
        LinkLoop.shared.execute { }
    }

    companion object {
        /** Listens on [address] as the daemon called [self]. Port 0 takes a free one. */
        fun listen(
            self: HostName,
            address: Address,
            keys: LinkKeys = LinkKeys.NONE,
            bounds: LinkBounds = LinkBounds(),
            serve: Serve,
        ): LinkServer {
            val acceptor = LinkAcceptor(Handshake(self, keys), bounds, TimeSource.Monotonic, serve)
            return LinkServer(address, acceptor, bounds.connections)
        }

        private const val BACKLOG = 1_024

        /** How long links may take to end once they were closed. */
        private val LAST_LINKS = 2.seconds

        private val CLOSE_CHECK = 10.milliseconds
    }
}

/** Runs the accepting ends of links, over whatever pipes they come. */
internal class LinkAcceptor(
    private val handshake: Handshake,
    private val bounds: LinkBounds,
    private val time: TimeSource,
    private val serve: Serve,
) {
    private val links = ConcurrentHashMap.newKeySet<AnsweringLink>()
    private val pipes = ConcurrentHashMap.newKeySet<Pipe>()

    @Volatile
    private var isLeaving = false

    /** Connections that are open, those without a finished handshake too. */
    val connections: Int get() = pipes.size

    /** Checks the links until cancelled. */
    suspend fun watch() = LinkWatch(bounds, time).run { wasPaused -> links.forEach { it.check(wasPaused) } }

    /** Runs the link over [pipe] until it is lost. */
    suspend fun run(pipe: Pipe) {
        pipes += pipe
        try {
            val peer = withTimeoutOrNull(bounds.handshake) { handshake.accept(pipe) }
            if (peer ==
                null
            ) {
                log.debug { "connection closed: no handshake within ${bounds.handshake}" }
            } else {
                run(pipe, peer)
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: LinkRefusedException) {
            log.warn { "link refused: ${e.message}" }
        } catch (e: Exception) {
            log.debug { "connection closed before its handshake: ${e.message}" }
        } finally {
            pipes -= pipe
            pipe.close()
        }
    }

    private suspend fun run(
        pipe: Pipe,
        peer: Peer,
    ) {
        val link = AnsweringLink(pipe, peer.name, bounds, time, serve)
        links += link
        try {
            if (isLeaving) link.leave()
            val reason = link.run()
            log.debug { "link from ${peer.name} closed: $reason" }
        } finally {
            links -= link
        }
    }

    /** Takes no new exchanges and waits up to [within] for those in progress to end. */
    suspend fun leave(within: Duration) {
        isLeaving = true
        links.forEach { it.leave() }
        withTimeoutOrNull(within) { while (links.any { it.isBusy }) delay(POLL) }
        links.forEach { it.close("this daemon has left") }
    }

    private companion object {
        val POLL = 20.milliseconds
    }
}
