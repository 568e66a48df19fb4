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

/** Answers a message that a home sends to the gate on its own host. */
internal typealias OwnGate = (message: Message) -> Flow<Message>

/** The gates of a service's upstreams, as a home sees them. */
internal class Gates(
    private val self: Host,
    private val members: Members,
    private val peers: Peers,
    private val own: OwnGate,
    private val isOwnAccepting: () -> Boolean = { true },
) {
    private val incarnations = ConcurrentHashMap<HostName, Incarnation>()

    /** Chooses the gate for a call of [service], none of [excluded]. Null when there is none. */
    fun choose(
        service: Service,
        excluded: Set<HostName>,
        model: ModelName? = null,
    ): HostName? {
        val hosts = service.upstreamsFor(model).map { it.host }.filter { it !in excluded }
        if (self.name in hosts && isOwnAccepting()) return self.name
        return hosts.firstOrNull { it != self.name && isPresent(it) } ?: self.name.takeIf { it in hosts }
    }

    /** The run of the gate's daemon on [host], or null when it cannot be asked or leaves. */
    suspend fun incarnation(host: HostName): Incarnation? {
        if (host == self.name) return self.incarnation
        incarnations[host]?.let { return it }
        val status = peers.status(host)?.takeIf { !it.leaving } ?: return null
        return status.host.incarnation.also { incarnations[host] = it }
    }

    /** The gate on [host] is not what it was. */
    fun forget(host: HostName) {
        incarnations.remove(host)
    }

    /** Sends [forward] to the gate on [host]. */
    fun forward(
        host: HostName,
        forward: Forward,
    ): Flow<Message> = if (host == self.name) own(forward) else peers.stream(host, forward)

    /** Sends [bar] to the gate on [host]. */
    fun bar(
        host: HostName,
        bar: BarCall,
    ): Flow<Message> = if (host == self.name) own(bar) else peers.stream(host, bar)

    private fun isPresent(host: HostName): Boolean = members.all.any { it.name == host && !it.leaving }
}
