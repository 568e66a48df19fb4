package sycamore.links

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.model.Address
import sycamore.model.HostName
import java.net.ConnectException
import java.util.concurrent.ConcurrentHashMap
import kotlin.coroutines.CoroutineContext
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** Sends messages to other daemons, over one link to each, which it opens as needed. [exchange] is an [Exchange]. */
class LinkClient internal constructor(
    private val handshake: Handshake,
    private val bounds: LinkBounds,
    private val time: TimeSource,
    context: CoroutineContext,
    dial: Dial?,
) : AutoCloseable {
    /** Creates a client of the daemon named [self] that uses TCP. */
    constructor(
        self: HostName,
        keys: LinkKeys = LinkKeys.NONE,
        bounds: LinkBounds = LinkBounds(),
    ) : this(Handshake(self, keys), bounds, TimeSource.Monotonic, Dispatchers.Default, dial = null)

    /** The bytes sent and received on all links. */
    val traffic = LinkTraffic()

    private val openPipe: Dial = dial ?: dialTcp(LinkLoop.shared, traffic)
    private val scope = CoroutineScope(context + SupervisorJob(context[Job]))
    private val links = ConcurrentHashMap<Address, AskingLink>()
    private val dialling = ConcurrentHashMap<Address, Mutex>()

    init {
        scope.launch { LinkMonitor(bounds, time).run(::check) }
    }

    /** The number of open links. */
    val linkCount: Int get() = links.size

    /** Sends [message] to the daemon at [to] and emits its replies; see [Exchange]. */
    fun exchange(
        to: Address,
        message: Message,
    ): Flow<Message> =
        flow {
            val link = linkTo(to)
            link.exchange(message).collect { emit(it) }
        }

    private suspend fun linkTo(to: Address): AskingLink {
        links[to]?.takeIf { it.isOpen }?.let { return it }
        return dialling.computeIfAbsent(to) { Mutex() }.withLock {
            links[to]?.takeIf { it.isOpen } ?: dial(to)
        }
    }

    private suspend fun dial(to: Address): AskingLink {
        val pipe = connect(to)
        val link = AskingLink(pipe, to, bounds, time)
        links[to] = link
        scope.launch {
            try {
                link.run()
            } finally {
                links.remove(to, link)
            }
        }
        return link
    }

    private suspend fun connect(to: Address): Pipe {
        var pipe: Pipe? = null
        try {
            val peer =
                withTimeoutOrNull(bounds.handshakeTimeout) {
                    handshake.dial(openPipe(to).also { pipe = it })
                }
            if (peer != null) return pipe!!
            pipe?.close()
            throw LinkException("cannot reach $to within ${bounds.handshakeTimeout}", sent = false)
        } catch (e: LinkException) {
            throw e
        } catch (e: CancellationException) {
            pipe?.close()
            throw e
        } catch (e: Exception) {
            pipe?.close()
            if (e is LinkRefusedException) log.warn { "handshake with $to failed: ${e.message}" }
            val reason = e.message ?: e::class.simpleName
            throw LinkException("cannot reach $to: $reason", sent = false, isRefused = isRefusal(e))
        }
    }

    /** Whether the host refused the connection because no process listens on the port, as opposed to not responding. */
    private fun isRefusal(failure: Exception): Boolean =
        failure is ConnectException && failure.message?.contains("refused", ignoreCase = true) == true

    private fun check(wasPaused: Boolean) =
        links.values.forEach { link -> if (link.isUnused) link.close("unused") else link.check(wasPaused) }

    override fun close() {
        links.values.forEach { it.close("this end was closed") }
        scope.cancel()
    }
}
