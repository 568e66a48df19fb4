package sycamore.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.Background
import sycamore.decisions.pace.LearnedPace
import sycamore.decisions.pace.TypicalPace
import sycamore.links.Exchange
import sycamore.links.GateStatus
import sycamore.links.GetGateStatus
import sycamore.links.ReportedPace
import sycamore.links.ask
import sycamore.model.Address
import sycamore.model.ServiceName
import sycamore.routing.ListedUpstream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * An engine and the daemon on its host, with their last reported state.
 *
 * @property address the address of the daemon.
 * @property status the state that the daemon last reported; null if it is too old or the daemon did not respond.
 * @property placed the number of turns that this process has sent to the daemon since that report.
 * @property slots the number of turns that the engine runs at once.
 * @property pace the pace that the daemon last reported, which is kept for longer than the state; null if it is not known.
 * @property age the time since that report of the pace.
 */
internal class EngineHost(
    val upstream: ListedUpstream,
    val address: Address,
    val status: GateStatus?,
    val placed: Int,
    val slots: Int,
    val pace: LearnedPace?,
    val age: Duration,
)

/**
 * The daemons on the hosts of engines, with the loads that they last reported to this process.
 *
 * Daemons report their loads at the ends of turns. If a daemon has not done so recently, its load is requested when a
 * decision needs it. The number of messages therefore grows with the number of programs, and not with that of gateways
 * times engines.
 */
internal class EngineDirectory(
    private val upstreams: UpstreamDirectory,
    private val routes: RoutesInForce,
    private val exchange: Exchange,
    private val linkPort: Int,
    private val background: Background,
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Report(
        val status: GateStatus?,
        val receivedAt: ComparableTimeMark,
    ) {
        val placed = AtomicInteger()
    }

    private class PaceReport(
        val pace: LearnedPace,
        val at: ComparableTimeMark,
    )

    private class Typical(
        val pace: TypicalPace?,
        val at: ComparableTimeMark,
    )

    private val paces = ConcurrentHashMap<Address, PaceReport>()
    private val typical = ConcurrentHashMap<ServiceName, Typical>()

    private val reports = ConcurrentHashMap<Address, Report>()

    /** The requests for loads that are in progress. */
    private val requests = ConcurrentHashMap<Address, CompletableDeferred<Unit>>()

    /** All engines, including those that are leaving. */
    val all: List<EngineHost> get() = upstreams.all.filter(::isEngine).map { engineHost(it) }

    /** The engine on the host of the daemon at [address]; null if there is none. */
    fun atAddress(address: Address): EngineHost? =
        upstreams.onHost(address.ip).firstOrNull { daemonAddress(it) == address && isEngine(it) }?.let(::engineHost)

    /** The typical pace of the engines of [service]; null if it is not known. */
    fun typicalPace(service: ServiceName): TypicalPace? {
        val known = typical[service]
        if (known != null && known.at.elapsedNow() < TYPICAL_AGE) return known.pace
        val paces = upstreams.available(service).mapNotNull { paceOf(daemonAddress(it))?.first }
        return TypicalPace.of(paces).also { typical[service] = Typical(it, time.markNow()) }
    }

    private fun paceOf(address: Address): Pair<LearnedPace, Duration>? {
        val report = paces[address] ?: return null
        val age = report.at.elapsedNow()
        return if (age < PACE_MAX_AGE) report.pace.aged(age) to age else null
    }

    private fun engine(upstream: ListedUpstream) = engineOf(upstream.service)

    private fun engineOf(service: ServiceName) =
        routes.table.value
            ?.services
            ?.get(service)
            ?.engine

    private fun isEngine(upstream: ListedUpstream): Boolean = engine(upstream) != null

    /** Whether the upstreams of [service] are engines. */
    fun hasEngines(service: ServiceName): Boolean = engineOf(service) != null

    /** The address at which a daemon on the host of [upstream] serves links. */
    fun daemonAddress(upstream: ListedUpstream) = Address(upstream.address.ip, linkPort)

    private fun engineHost(upstream: ListedUpstream): EngineHost {
        val address = daemonAddress(upstream)
        val last = freshReport(address)
        val pace = paceOf(address)
        return EngineHost(
            upstream,
            address,
            last?.status,
            last?.placed?.get() ?: 0,
            engine(upstream)?.slots ?: upstream.slots,
            pace?.first,
            pace?.second ?: Duration.ZERO,
        )
    }

    private fun freshReport(address: Address) = reports[address]?.takeIf { it.receivedAt.elapsedNow() < MAX_AGE }

    /** Records that a turn was sent to the daemon at [address]. */
    fun recordPlacement(address: Address) {
        reports[address]?.placed?.incrementAndGet()
    }

    /** Records the [status] that the daemon at [address] reported. */
    fun recordStatus(
        address: Address,
        status: GateStatus,
    ) {
        reports[address] = Report(status, time.markNow())
        status.pace?.let { paces[address] = PaceReport(it.toLearned(), time.markNow()) }
    }

    private fun ReportedPace.toLearned() =
        LearnedPace(tokenTime, loadShare, firstTime, readTime, slowdown, tokens, samples)

    /** Records that the daemon at [address] did not respond. */
    fun recordUnresponsive(address: Address) {
        reports[address] = Report(null, time.markNow())
    }

    /**
     * Returns [hosts] with their current loads. Requests the loads that are not fresh, and waits [MAX_WAIT] for them. A
     * daemon that has not responded by then counts as unresponsive until its answer arrives.
     *
     * @param retriesUnresponsive whether daemons that did not respond before are asked again without a pause, since no
     *   other one accepts turns. After a power failure, daemons start at about the same time as this one.
     * @param maxWait the time to wait. If it is less than [MAX_WAIT], daemons that have not responded by then do not count
     *   as unresponsive.
     */
    suspend fun refresh(
        hosts: List<EngineHost>,
        retriesUnresponsive: Boolean = false,
        maxWait: Duration = MAX_WAIT,
    ): List<EngineHost> {
        refreshStatuses(hosts.map { it.address }, retriesUnresponsive, maxWait)
        return hosts.map { engineHost(it.upstream) }
    }

    /** Returns the current states of the daemons at [addresses], as [refresh] does. Daemons that do not respond have none. */
    suspend fun statuses(
        addresses: List<Address>,
        retriesUnresponsive: Boolean = false,
    ): Map<Address, GateStatus> {
        refreshStatuses(addresses, retriesUnresponsive, MAX_WAIT)
        return addresses.mapNotNull { address -> freshReport(address)?.status?.let { address to it } }.toMap()
    }

    private suspend fun refreshStatuses(
        addresses: List<Address>,
        retriesUnresponsive: Boolean,
        maxWait: Duration,
    ) {
        val stale = addresses.filterNot { isFresh(it, retriesUnresponsive) }
        val pending = stale.associateWith(::requestStatus)
        withTimeoutOrNull(maxWait) { pending.values.forEach { it.await() } }
        if (maxWait >= MAX_WAIT) {
            pending.forEach { (address, request) -> if (!request.isCompleted) recordUnresponsive(address) }
        }
    }

    private fun isFresh(
        address: Address,
        retriesUnresponsive: Boolean,
    ): Boolean {
        val last = reports[address] ?: return false
        val unresponsivePause = if (retriesUnresponsive) RETRY_PAUSE else UNRESPONSIVE_PAUSE
        return last.receivedAt.elapsedNow() < if (last.status == null) unresponsivePause else FRESH_AGE
    }

    /** Requests the load of the daemon at [address], unless a request is in progress already. */
    private fun requestStatus(address: Address): CompletableDeferred<Unit> {
        val request = CompletableDeferred<Unit>()
        requests.putIfAbsent(address, request)?.let { return it }
        background.launch("requesting the load of $address") {
            try {
                val status = exchange.ask(address, GetGateStatus, REQUEST_TIMEOUT) as? GateStatus
                if (status == null) recordUnresponsive(address) else recordStatus(address, status)
            } finally {
                requests.remove(address)
                request.complete(Unit)
            }
        }
        return request
    }

    private companion object {
        /**
         * The age up to which a load is fresh. Loads change within the duration of a turn, a few hundred milliseconds.
         */
        val FRESH_AGE: Duration = 300.milliseconds

        /** The age from which a pace is ignored. An engine keeps its own pace for longer than its load. */
        val PACE_MAX_AGE: Duration = 30.seconds
        val TYPICAL_AGE: Duration = 200.milliseconds

        /** The age from which a load is ignored. */
        val MAX_AGE: Duration = 1500.milliseconds

        /**
         * The time for which an unresponsive daemon gets no further request while others accept turns: about the duration
         * of a restart.
         */
        val UNRESPONSIVE_PAUSE: Duration = 1000.milliseconds

        /** The time for which an unresponsive daemon gets no further request while no other one accepts turns. */
        val RETRY_PAUSE: Duration = 50.milliseconds

        /** Several times the round trip to the farthest region. */
        val MAX_WAIT: Duration = 150.milliseconds

        /** A daemon that has just started may take this long to respond. */
        val REQUEST_TIMEOUT: Duration = 1000.milliseconds
    }
}
