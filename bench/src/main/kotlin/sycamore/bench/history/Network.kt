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

/** What a link from one host to another does to messages. */
internal enum class LinkState {
    /** Messages pass. */
    OPEN,

    /** Connecting fails, and messages under way are lost. */
    CUT,

    /** Messages arrive, and their replies are lost without a sign until the heartbeat notices. */
    SILENT,
}

/** Where a running daemon is reached: its scope, and what answers messages. */
internal class Endpoint(
    val host: Host,
    val scope: CoroutineScope,
    val serve: MessageHandler,
    val isAlive: () -> Boolean,
)

/**
 * The links between the daemons of a run, in one process.
 *
 * A lost link is noticed after [SILENCE]. Replies of one exchange stay in order; exchanges overtake each other.
 */
internal class Network(
    private val random: Random,
    private val latency: (HostName, HostName) -> Duration,
    private val state: (HostName, HostName) -> LinkState,
) {
    private val endpoints = HashMap<Address, Endpoint>()

    /** Makes [endpoint] reachable, in place of what was there before. */
    fun attach(endpoint: Endpoint) {
        endpoints[endpoint.host.address] = endpoint
    }

    /** Closes the sockets of the daemon that was at [address]. */
    fun detach(address: Address) {
        endpoints.remove(address)
    }

    /** The [Exchange] of the daemon on [from]. */
    fun exchangeOf(from: HostName): Exchange =
        { to, message ->
            flow {
                val target = connect(from, to)
                val replies = Channel<Message>(Channel.UNLIMITED)
                target.scope.launch { answer(target, from, copy(message), replies) }
                receive(from, target, replies) { emit(it) }
            }
        }

    private suspend fun connect(
        from: HostName,
        to: Address,
    ): Endpoint {
        val target = endpoints[to] ?: throw LinkException("cannot reach $to", sent = false)
        delay(travel(from, target.host.name))
        if (state(from, target.host.name) == LinkState.CUT) {
            delay(SILENCE)
            throw LinkException("cannot reach $to", sent = false)
        }
        if (!target.isAlive()) throw LinkException("cannot reach $to", sent = false)
        return target
    }

    private suspend fun answer(
        target: Endpoint,
        from: HostName,
        message: Message,
        replies: Channel<Message>,
    ) {
        try {
            target.serve(from, message).collect { replies.send(copy(it)) }
            replies.close()
        } catch (e: LinkException) {
            replies.close(e)
        }
    }

    private suspend fun receive(
        from: HostName,
        target: Endpoint,
        replies: Channel<Message>,
        emit: suspend (Message) -> Unit,
    ) {
        while (true) {
            val next = kotlinx.coroutines.withTimeoutOrNull(HEARTBEAT) { replies.receiveCatching() }
            if (next == null) {
                requireLink(from, target)
                continue
            }
            next.exceptionOrNull()?.let { throw it }
            val reply = next.getOrNull() ?: return
            delay(travel(target.host.name, from))
            if (state(from, target.host.name) != LinkState.OPEN) loseLink(target)
            emit(reply)
        }
    }

    private suspend fun requireLink(
        from: HostName,
        target: Endpoint,
    ) {
        if (!target.isAlive() || endpoints[target.host.address] !== target) loseLink(target)
        if (state(from, target.host.name) != LinkState.OPEN) loseLink(target)
    }

    private suspend fun loseLink(target: Endpoint): Nothing {
        delay(SILENCE)
        throw LinkException("link to ${target.host.address} was lost", sent = true)
    }

    private fun travel(
        from: HostName,
        to: HostName,
    ): Duration = latency(from, to) + random.nextInt(JITTER_MICROS).let { it.milliseconds / MICROS_PER_MILLI }

    private fun copy(message: Message): Message = Cbor.decodeFromByteArray(Cbor.encodeToByteArray(message))

    private companion object {
        val HEARTBEAT = 500.milliseconds
        val SILENCE = 2.seconds
        const val JITTER_MICROS = 900
        const val MICROS_PER_MILLI = 1000
    }
}
