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

/** The other daemons, by name. */
class Peers(
    private val self: HostName,
    private val members: Members,
    private val exchange: Exchange,
) {
    /** Sends [message] to the daemon on [host]. Fails as [Exchange] does, also when the host is not known. */
    fun send(
        host: HostName,
        message: Message,
    ): Flow<Message> =
        flow {
            val address = members.addressOf(host) ?: throw LinkException("host $host is not listed", sent = false)
            emitAll(exchange(address, message))
        }

    /** Sends [message] to the daemon on [host] and returns the first reply, or null when none came within [limit]. */
    suspend fun ask(
        host: HostName,
        message: Message,
        limit: Duration = ASK_LIMIT,
    ): Message? =
        try {
            withTimeoutOrNull(limit) { send(host, message).firstOrNull() }
        } catch (_: LinkException) {
            null
        }

    /** The status of the daemon on [host], or null when it did not answer in time. */
    suspend fun status(host: HostName): HostStatus? = ask(host, GetHostStatus(self)) as? HostStatus

    /**
     * As [send], for answers that may take long: a daemon that is silent is asked for its status from time to time.
     * When it does not answer, the flow fails as if the link was lost. All replies before a failure are delivered.
     */
    fun stream(
        host: HostName,
        message: Message,
    ): Flow<Message> =
        watched(host, message).transformWhile { step ->
            if (step is Step.Lost) throw step.cause
            if (step is Step.Reply) emit(step.message)
            step is Step.Reply
        }

    /** A step of a watched exchange. Failures travel in line, since a flow that fails drops what it has buffered. */
    private sealed interface Step {
        class Reply(
            val message: Message,
        ) : Step

        class Lost(
            val cause: LinkException,
        ) : Step

        data object End : Step
    }

    private fun watched(
        host: HostName,
        message: Message,
    ): Flow<Step> =
        channelFlow {
            val received = AtomicLong()
            launch {
                awaitSilence(host, received)
                send(Step.Lost(LinkException("host $host is silent", sent = true)))
            }
            try {
                send(host, message).collect {
                    received.incrementAndGet()
                    send(Step.Reply(it))
                }
                send(Step.End)
            } catch (e: LinkException) {
                send(Step.Lost(e))
            }
        }

    private suspend fun awaitSilence(
        host: HostName,
        received: AtomicLong,
    ) {
        while (true) {
            val before = received.get()
            delay(SILENCE)
            if (received.get() == before && status(host) == null) return
        }
    }

    companion object {
        /** How long an answer that takes no work may take. */
        val ASK_LIMIT = 2.seconds

        /** How long a daemon may be silent before it is asked for its status. */
        val SILENCE = 2.seconds
    }
}
