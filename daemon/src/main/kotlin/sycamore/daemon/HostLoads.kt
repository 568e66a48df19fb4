package sycamore.daemon

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import sycamore.decisions.PlacementRequest
import sycamore.decisions.UpstreamState
import sycamore.model.HostName
import sycamore.model.Service
import sycamore.model.Upstream
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * How busy the upstreams are, as their hosts say. A few hosts are asked per second, in turn, so that the cost does not
 * grow with the fleet; a host that was not heard of lately counts as its service's file describes it, and comes after
 * those that were.
 */
class HostLoads(
    private val peers: Peers,
    private val inForce: InForce,
    private val time: TimeSource.WithComparableMarks,
) {
    private class Known(
        val state: UpstreamState,
        val at: TimeMark,
    )

    private val known = ConcurrentHashMap<HostName, Known>()

    /** The upstreams of [service] that were heard of lately; all of them, as configured, when none was. */
    fun of(service: Service): List<UpstreamState> {
        val recent = service.upstreams.mapNotNull { upstream -> recent(upstream.host)?.let { fitted(it, upstream) } }
        return recent.ifEmpty { service.upstreams.map(::configured) }
    }

    /** A call like [ask] was sent to [host] since it was last heard of. */
    fun expect(
        host: HostName,
        ask: PlacementRequest,
    ) {
        known.computeIfPresent(host) { _, before -> Known(before.state.afterPlacing(ask), before.at) }
    }

    /** Asks the hosts until cancelled. */
    suspend fun run(): Nothing {
        var next = 0
        while (true) {
            val hosts = hosts()
            if (hosts.isNotEmpty()) {
                val asked = List(minOf(ASKED_AT_ONCE, hosts.size)) { hosts[(next + it) % hosts.size] }
                next = (next + asked.size) % hosts.size
                coroutineScope { asked.forEach { launch { ask(it) } } }
            }
            delay(PERIOD)
        }
    }

    private fun hosts(): List<HostName> =
        inForce.configuration.value
            ?.services
            .orEmpty()
            .flatMap { service -> service.upstreams.map { it.host } }

    private suspend fun ask(host: HostName) {
        val status = peers.status(host)
        val state = status?.upstream
        if (state == null) {
            known.remove(host)
        } else {
            known[host] = Known(state.copy(isAccepting = state.isAccepting && !status.leaving), time.markNow())
        }
    }

    private fun recent(host: HostName): UpstreamState? = known[host]?.takeIf { it.at.elapsedNow() < VALID }?.state

    private fun fitted(
        state: UpstreamState,
        upstream: Upstream,
    ): UpstreamState = state.copy(capacity = upstream.capacity, place = upstream.place)

    private fun configured(upstream: Upstream) =
        UpstreamState(upstream.host, upstream.place, upstream.capacity, models = upstream.models.toSet())

    private companion object {
        const val ASKED_AT_ONCE = 4
        val PERIOD: Duration = 1.seconds
        val VALID: Duration = 20.seconds
    }
}
