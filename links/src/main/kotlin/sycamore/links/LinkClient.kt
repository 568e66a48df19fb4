package sycamore.links

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import sycamore.model.Address
import sycamore.model.HostName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Dials other daemons, one link to each, and sends messages over them. [exchange] is its [Exchange]. */
class LinkClient(
    private val self: HostName,
) : AutoCloseable {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val links = ConcurrentHashMap<Address, DialledLink>()
    private val dialling = ConcurrentHashMap<Address, Mutex>()

    /** Sends [message] to the daemon at [to]; see [Exchange]. */
    fun exchange(
        to: Address,
        message: Message,
    ): Flow<Message> =
        flow {
            val link = linkTo(to)
            link.exchange(message).collect { emit(it) }
        }

    private suspend fun linkTo(to: Address): DialledLink =
        dialling.computeIfAbsent(to) { Mutex() }.withLock {
            links[to]?.takeIf { it.isOpen } ?: dial(to).also { links[to] = it }
        }

    private suspend fun dial(to: Address): DialledLink {
        try {
            val socket = aSocket(selector).tcp().connect(to.ip, to.port)
            return DialledLink(socket, to).also { it.start() }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            throw LinkException("cannot reach $to: ${e.message}", sent = false)
        }
    }

    override fun close() {
        scope.cancel()
        selector.close()
    }

    private inner class DialledLink(
        private val socket: Socket,
        private val to: Address,
    ) {
        private val reader = socket.openReadChannel()
        private val writer = FrameWriter(socket.openWriteChannel(), scope)
        private val nextStream = AtomicLong()
        private val streams = ConcurrentHashMap<Long, Channel<Message>>()

        @Volatile
        var isOpen = true
            private set

        suspend fun start() {
            writer.write(Hello(VERSION, self))
            reader.readFrame() as Hello
            scope.launch { readReplies() }
        }

        fun exchange(message: Message): Flow<Message> =
            flow {
                val stream = nextStream.incrementAndGet()
                val replies = Channel<Message>(Channel.UNLIMITED)
                streams[stream] = replies
                try {
                    if (!isOpen) throw LinkException("link to $to is closed", sent = false)
                    write(Ask(stream, message))
                    for (reply in replies) emit(reply)
                } finally {
                    abandon(stream)
                }
            }

        private suspend fun abandon(stream: Long) {
            if (streams.remove(stream) == null || !isOpen) return
            withContext(NonCancellable) {
                runCatching { write(Cancel(stream)) }
            }
        }

        private suspend fun readReplies() {
            try {
                while (true) handle(reader.readFrame())
            } catch (e: Exception) {
                fail(e)
            }
        }

        private fun handle(frame: Frame) {
            when (frame) {
                is Reply -> streams[frame.stream]?.trySend(frame.message)
                is End -> streams.remove(frame.stream)?.close()
                else -> Unit
            }
        }

        private fun fail(cause: Exception) {
            isOpen = false
            links.remove(to, this)
            writer.close()
            socket.close()
            val failure = LinkException("link to $to was lost: ${cause.message}", sent = true)
            streams.values.forEach { it.close(failure) }
        }

        private suspend fun write(frame: Frame) {
            try {
                writer.write(frame)
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                throw LinkException("link to $to was lost: ${e.message}", sent = true)
            }
        }
    }
}
