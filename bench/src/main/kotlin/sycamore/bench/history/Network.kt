package sycamore.bench.history

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import sycamore.links.Exchange
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.links.MessageHandler
import sycamore.model.Address
import sycamore.model.Host
import sycamore.model.HostName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The state of the link between two hosts. */
internal enum class LinkState {
    /** Messages are delivered. */
    OPEN,

    /** Connecting fails, and messages in transit are lost. */
    CUT,

    /** Messages arrive, but their replies are lost, without an error until the heartbeat detects it. */
    SILENT,
}

/** A running daemon as the network reaches it: its coroutine scope and its message handler. */
internal class Endpoint(
    val host: Host,
    val scope: CoroutineScope,
    val serve: MessageHandler,
    val isAlive: () -> Boolean,
)

/**
 * The simulated links between the daemons of a run.
 *
 * A lost link is detected after [LOSS_DETECTION_TIME]. Replies within one exchange are delivered in order; there is no
 * order between exchanges.
 */
internal class Network(
    private val random: Random,
    private val latency: (HostName, HostName) -> Duration,
    private val state: (HostName, HostName) -> LinkState,
) {
    private val endpoints = HashMap<Address, Endpoint>()

    /** Makes [endpoint] reachable at its address and replaces any earlier endpoint there. */
    fun attach(endpoint: Endpoint) {
        endpoints[endpoint.host.address] = endpoint
    }

    /** Makes the daemon at [address] unreachable, as if its sockets were closed. */
    fun detach(address: Address) {
        endpoints.remove(address)
    }

    /** The [Exchange] by which the daemon on [from] sends messages. */
    fun exchangeOf(from: HostName): Exchange =
        { to, message ->
            flow {
                val target = connect(from, to)
                val replies = Channel<Message>(Channel.UNLIMITED)
                target.scope.launch { serveMessage(target, from, serializedCopy(message), replies) }
                receiveReplies(from, target, replies) { emit(it) }
            }
        }

    private suspend fun connect(
        from: HostName,
        to: Address,
    ): Endpoint {
        val target = endpoints[to] ?: throw LinkException("cannot reach $to", sent = false)
        delay(travelTime(from, target.host.name))
        if (state(from, target.host.name) == LinkState.CUT) {
            delay(LOSS_DETECTION_TIME)
            throw LinkException("cannot reach $to", sent = false)
        }
        if (!target.isAlive()) throw LinkException("cannot reach $to", sent = false)
        return target
    }

    private suspend fun serveMessage(
        target: Endpoint,
        from: HostName,
        message: Message,
        replies: Channel<Message>,
    ) {
        try {
            target.serve(from, message).collect { replies.send(serializedCopy(it)) }
            replies.close()
        } catch (e: LinkException) {
            replies.close(e)
        }
    }

    private suspend fun receiveReplies(
        from: HostName,
        target: Endpoint,
        replies: Channel<Message>,
        emit: suspend (Message) -> Unit,
    ) {
        while (true) {
            val next = kotlinx.coroutines.withTimeoutOrNull(HEARTBEAT_INTERVAL) { replies.receiveCatching() }
            if (next == null) {
                requireLinkOpen(from, target)
                continue
            }
            next.exceptionOrNull()?.let { throw it }
            val reply = next.getOrNull() ?: return
            delay(travelTime(target.host.name, from))
            if (state(from, target.host.name) != LinkState.OPEN) failLink(target)
            emit(reply)
        }
    }

    private suspend fun requireLinkOpen(
        from: HostName,
        target: Endpoint,
    ) {
        if (!target.isAlive() || endpoints[target.host.address] !== target) failLink(target)
        if (state(from, target.host.name) != LinkState.OPEN) failLink(target)
    }

    private suspend fun failLink(target: Endpoint): Nothing {
        delay(LOSS_DETECTION_TIME)
        throw LinkException("link to ${target.host.address} was lost", sent = true)
    }

    private fun travelTime(
        from: HostName,
        to: HostName,
    ): Duration = latency(from, to) + random.nextInt(JITTER_MICROS).let { it.milliseconds / MICROS_PER_MILLI }

    private fun serializedCopy(message: Message): Message = Cbor.decodeFromByteArray(Cbor.encodeToByteArray(message))

    private companion object {
        val HEARTBEAT_INTERVAL = 500.milliseconds
        val LOSS_DETECTION_TIME = 2.seconds
        const val JITTER_MICROS = 900
        const val MICROS_PER_MILLI = 1000
    }
}
