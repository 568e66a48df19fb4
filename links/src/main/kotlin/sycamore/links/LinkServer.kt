package sycamore.links

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.network.sockets.port
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import sycamore.model.Address
import sycamore.model.HostName
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/** Accepts links from other daemons and answers their messages with [serve]. */
class LinkServer private constructor(
    private val self: HostName,
    private val socket: ServerSocket,
    private val selector: SelectorManager,
    private val serve: Serve,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)

    /** The TCP port that links are accepted on. */
    val port: Int = socket.port

    private fun start() {
        scope.launch {
            while (true) {
                val accepted = socket.accept()
                scope.launch { runLink(accepted) }
            }
        }
    }

    private suspend fun runLink(accepted: Socket) {
        accepted.use {
            try {
                coroutineScope { AcceptedLink(accepted, this).run() }
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                log.debug(e) { "link closed" }
            }
        }
    }

    override fun close() {
        scope.cancel()
        socket.close()
        selector.close()
    }

    private inner class AcceptedLink(
        accepted: Socket,
        private val scope: CoroutineScope,
    ) {
        private val reader = accepted.openReadChannel()
        private val writer = FrameWriter(accepted.openWriteChannel(), scope)
        private val running = ConcurrentHashMap<Long, Job>()

        suspend fun run() {
            val hello = reader.readFrame() as Hello
            write(Hello(VERSION, self))
            try {
                while (true) handle(reader.readFrame(), hello.from)
            } finally {
                scope.cancel()
            }
        }

        private fun handle(
            frame: Frame,
            from: HostName,
        ) {
            when (frame) {
                is Ask -> running[frame.stream] = scope.launch { answer(frame, from) }
                is Cancel -> running.remove(frame.stream)?.cancel()
                else -> log.warn { "expected an ask or a cancel from $from, found ${frame::class.simpleName}" }
            }
        }

        private suspend fun answer(
            ask: Ask,
            from: HostName,
        ) {
            serve(from, ask.message).collect { write(Reply(ask.stream, it)) }
            write(End(ask.stream))
            running.remove(ask.stream)
        }

        private suspend fun write(frame: Frame) = writer.write(frame)
    }

    companion object {
        /** Listens on [address] as the daemon called [self]. Port 0 takes a free one. */
        suspend fun listen(
            self: HostName,
            address: Address,
            serve: Serve,
        ): LinkServer {
            val selector = SelectorManager(Dispatchers.IO)
            val socket = aSocket(selector).tcp().bind(address.ip, address.port) { reuseAddress = true }
            return LinkServer(self, socket, selector, serve).also { it.start() }
        }
    }
}
