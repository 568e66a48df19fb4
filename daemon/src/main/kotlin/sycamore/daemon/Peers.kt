package sycamore.daemon

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.transformWhile
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.links.Exchange
import sycamore.links.GetHostStatus
import sycamore.links.HostStatus
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.model.HostName
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Sends messages to other daemons, which are addressed by the names of their hosts. */
class Peers(
    private val self: HostName,
    private val members: Members,
    private val exchange: Exchange,
) {
    /** Sends [message] to the daemon on [host]. Fails like [Exchange], also if the host is unknown. */
    fun send(
        host: HostName,
        message: Message,
    ): Flow<Message> =
        flow {
            val address = members.addressOf(host) ?: throw LinkException("host $host is not listed", sent = false)
            emitAll(exchange(address, message))
        }

    /** Sends [message] to the daemon on [host] and returns the first reply; null on failure or after [timeout]. */
    suspend fun request(
        host: HostName,
        message: Message,
        timeout: Duration = REQUEST_TIMEOUT,
    ): Message? =
        try {
            withTimeoutOrNull(timeout) { send(host, message).firstOrNull() }
        } catch (_: LinkException) {
            null
        }

    /** Requests the status of the daemon on [host]; null if it did not respond in time. */
    suspend fun status(host: HostName): HostStatus? = request(host, GetHostStatus(self)) as? HostStatus

    /**
     * Like [send], for replies that may take long. While no reply arrives, the status of the daemon is requested at
     * each [STATUS_CHECK_INTERVAL]; if it does not respond, the flow fails as if the link were lost. All replies that
     * arrived before a failure are delivered.
     */
    fun stream(
        host: HostName,
        message: Message,
    ): Flow<Message> =
        monitored(host, message).transformWhile { event ->
            if (event is Event.Lost) throw event.cause
            if (event is Event.Reply) emit(event.message)
            event is Event.Reply
        }

    /** An event of a monitored exchange. Failures are elements of the flow, since a failing flow drops its buffer. */
    private sealed interface Event {
        class Reply(
            val message: Message,
        ) : Event

        class Lost(
            val cause: LinkException,
        ) : Event

        data object End : Event
    }

    private fun monitored(
        host: HostName,
        message: Message,
    ): Flow<Event> =
        channelFlow {
            val received = AtomicLong()
            launch {
                awaitUnresponsive(host, received)
                send(Event.Lost(LinkException("host $host does not respond", sent = true)))
            }
            try {
                send(host, message).collect {
                    received.incrementAndGet()
                    send(Event.Reply(it))
                }
                send(Event.End)
            } catch (e: LinkException) {
                send(Event.Lost(e))
            }
        }

    private suspend fun awaitUnresponsive(
        host: HostName,
        received: AtomicLong,
    ) {
        while (true) {
            val before = received.get()
            delay(STATUS_CHECK_INTERVAL)
            if (received.get() == before && status(host) == null) return
        }
    }

    companion object {
        /** Timeout of requests that the receiver answers without further work. */
        val REQUEST_TIMEOUT = 2.seconds

        /** Time without a reply after which the status of the daemon is requested. */
        val STATUS_CHECK_INTERVAL = 2.seconds
    }
}
