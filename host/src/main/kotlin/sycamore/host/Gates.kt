package sycamore.host

import kotlinx.coroutines.flow.Flow
import sycamore.daemon.Members
import sycamore.daemon.Peers
import sycamore.links.BarCall
import sycamore.links.Forward
import sycamore.links.Message
import sycamore.model.Host
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.ModelName
import sycamore.model.Service
import java.util.concurrent.ConcurrentHashMap

/** Handles a message that a home sends to the gate on its own host, and emits the replies. */
internal typealias OwnGate = (message: Message) -> Flow<Message>

/** Access of a home to the gates of a service's upstreams, on its own host and on others. */
internal class Gates(
    private val self: Host,
    private val members: Members,
    private val peers: Peers,
    private val ownGate: OwnGate,
    private val isOwnAccepting: () -> Boolean = { true },
) {
    private val incarnations = ConcurrentHashMap<HostName, Incarnation>()

    /**
     * Chooses the host of a gate for a call of [service], except [excluded] ones. Prefers the own host. Returns null if
     * there is none.
     */
    fun choose(
        service: Service,
        excluded: Set<HostName>,
        model: ModelName? = null,
    ): HostName? {
        val hosts = service.upstreamsFor(model).map { it.host }.filter { it !in excluded }
        if (self.name in hosts && isOwnAccepting()) return self.name
        return hosts.firstOrNull { it != self.name && isPresent(it) } ?: self.name.takeIf { it in hosts }
    }

    /** Returns the incarnation of the daemon on [host], or null if the host does not respond or is leaving. */
    suspend fun incarnation(host: HostName): Incarnation? {
        if (host == self.name) return self.incarnation
        incarnations[host]?.let { return it }
        val status = peers.status(host)?.takeIf { !it.leaving } ?: return null
        return status.host.incarnation.also { incarnations[host] = it }
    }

    /** Drops the stored incarnation of [host], since the gate there rejected a call or lost it. */
    fun forgetIncarnation(host: HostName) {
        incarnations.remove(host)
    }

    /** Sends [forward] to the gate on [host]. */
    fun forward(
        host: HostName,
        forward: Forward,
    ): Flow<Message> = if (host == self.name) ownGate(forward) else peers.stream(host, forward)

    /** Sends [bar] to the gate on [host]. */
    fun bar(
        host: HostName,
        bar: BarCall,
    ): Flow<Message> = if (host == self.name) ownGate(bar) else peers.stream(host, bar)

    private fun isPresent(host: HostName): Boolean = members.all.any { it.name == host && !it.leaving }
}
