package sycamore.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import sycamore.links.Exchange
import sycamore.links.GateStatus
import sycamore.links.GetGateStatus
import sycamore.links.ask
import sycamore.model.Address
import sycamore.routing.ListedUpstream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * An engine, the daemon beside it, and what is known of them.
 *
 * @property status what the daemon said last; null if it did not answer lately.
 * @property placed turns that this process has sent there since then.
 */
internal class EngineHost(
    val upstream: ListedUpstream,
    val address: Address,
    val status: GateStatus?,
    val placed: Int,
)

/**
 * The daemons beside engines, with their loads as this process last heard of them.
 *
 * Loads come with the ends of turns. A daemon that none came from lately is asked when a choice needs its load, so that
 * messages grow with programs and not with gateways times engines.
 */
internal class EngineBoard(
    private val upstreams: UpstreamDirectory,
    private val routes: RoutesInForce,
    private val exchange: Exchange,
    private val linkPort: Int,
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Heard(
        val status: GateStatus?,
        val at: ComparableTimeMark,
    ) {
        val placed = AtomicInteger()
    }

    private val heard = ConcurrentHashMap<Address, Heard>()

    /** All engines, leaving ones too. */
    val all: List<EngineHost> get() = upstreams.all.filter(::isEngine).map { host(it) }

    /** The engine beside the daemon at [address]. */
    fun at(address: Address): EngineHost? =
        upstreams.at(address.ip).firstOrNull { linksOf(it) == address && isEngine(it) }?.let(::host)

    private fun isEngine(upstream: ListedUpstream): Boolean =
        routes.table.value
            ?.services
            ?.get(upstream.service)
            ?.engine != null

    private fun linksOf(upstream: ListedUpstream) = Address(upstream.address.ip, linkPort)

    private fun host(upstream: ListedUpstream): EngineHost {
        val address = linksOf(upstream)
        val last = heard[address]?.takeIf { it.at.elapsedNow() < KNOWN }
        return EngineHost(upstream, address, last?.status, last?.placed?.get() ?: 0)
    }

    /** A turn was sent to the daemon at [address]. */
    fun placed(address: Address) {
        heard[address]?.placed?.incrementAndGet()
    }

    /** The daemon at [address] said [status] of itself. */
    fun learn(
        address: Address,
        status: GateStatus,
    ) {
        heard[address] = Heard(status, time.markNow())
    }

    /** The daemon at [address] did not answer. */
    fun lost(address: Address) {
        heard[address] = Heard(null, time.markNow())
    }

    /** [hosts] with loads that are fresh; those that are not are asked for. */
    suspend fun refresh(hosts: List<EngineHost>): List<EngineHost> {
        val stale = hosts.map { it.address }.filter { address -> !isFresh(address) }
        coroutineScope { stale.map { async { ask(it) } }.awaitAll() }
        return hosts.map { host(it.upstream) }
    }

    private fun isFresh(address: Address): Boolean {
        val last = heard[address] ?: return false
        return last.at.elapsedNow() < if (last.status == null) SILENT else FRESH
    }

    private suspend fun ask(address: Address) {
        val status = exchange.ask(address, GetGateStatus, ASK_LIMIT) as? GateStatus
        if (status == null) lost(address) else learn(address, status)
    }

    private companion object {
        /** Loads change within a turn's time, a few hundred milliseconds. */
        val FRESH: Duration = 300.milliseconds

        /** A load that is older than this says nothing. */
        val KNOWN: Duration = 1500.milliseconds

        /** A daemon that did not answer is not asked again for as long as a restart takes. */
        val SILENT: Duration = 1000.milliseconds

        /** Several times the way to the farthest region and back. */
        val ASK_LIMIT: Duration = 150.milliseconds
    }
}
