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
 * The load of the upstreams, as their hosts report it. A few hosts are polled per second in round-robin order, so that
 * the cost does not grow with the fleet. Upstreams without a recent report are used only when no upstream of the
 * service has one; they then have the state that the service's file describes.
 */
class HostLoads(
    private val peers: Peers,
    private val inForce: InForce,
    private val time: TimeSource.WithComparableMarks,
) {
    private class Report(
        val state: UpstreamState,
        val reportedAt: TimeMark,
    )

    private val reports = ConcurrentHashMap<HostName, Report>()

    /** Returns the upstreams of [service] with a recent report, or all of them as configured if none has one. */
    fun statesOf(service: Service): List<UpstreamState> {
        val recent =
            service.upstreams.mapNotNull { upstream ->
                recentState(upstream.host)?.let { withConfiguredValues(it, upstream) }
            }
        return recent.ifEmpty { service.upstreams.map(::configuredState) }
    }

    /** Adds a call like [request] to the last reported load of [host], since it was sent after that report. */
    fun recordPlacement(
        host: HostName,
        request: PlacementRequest,
    ) {
        reports.computeIfPresent(host) { _, before -> Report(before.state.afterPlacing(request), before.reportedAt) }
    }

    /** Polls the hosts until cancelled. */
    suspend fun run(): Nothing {
        var next = 0
        while (true) {
            val hosts = hosts()
            if (hosts.isNotEmpty()) {
                val polled = List(minOf(HOSTS_PER_POLL, hosts.size)) { hosts[(next + it) % hosts.size] }
                next = (next + polled.size) % hosts.size
                coroutineScope { polled.forEach { launch { poll(it) } } }
            }
            delay(POLL_INTERVAL)
        }
    }

    private fun hosts(): List<HostName> =
        inForce.configuration.value
            ?.services
            .orEmpty()
            .flatMap { service -> service.upstreams.map { it.host } }

    private suspend fun poll(host: HostName) {
        val status = peers.status(host)
        val state = status?.upstream
        if (state == null) {
            reports.remove(host)
        } else {
            reports[host] = Report(state.copy(isAccepting = state.isAccepting && !status.leaving), time.markNow())
        }
    }

    private fun recentState(host: HostName): UpstreamState? =
        reports[host]?.takeIf { it.reportedAt.elapsedNow() < REPORT_VALIDITY }?.state

    private fun withConfiguredValues(
        state: UpstreamState,
        upstream: Upstream,
    ): UpstreamState = state.copy(capacity = upstream.capacity, place = upstream.place)

    private fun configuredState(upstream: Upstream) =
        UpstreamState(upstream.host, upstream.place, upstream.capacity, models = upstream.models.toSet())

    private companion object {
        const val HOSTS_PER_POLL = 4
        val POLL_INTERVAL: Duration = 1.seconds
        val REPORT_VALIDITY: Duration = 20.seconds
    }
}
