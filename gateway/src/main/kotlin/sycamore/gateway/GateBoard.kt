package sycamore.gateway

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import sycamore.links.AskGate
import sycamore.links.Exchange
import sycamore.links.GateStatus
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

/** The daemons beside engines, with their loads as this process last heard of them. */
internal class GateBoard(
    private val upstreams: UpstreamDirectory,
    private val routes: RoutesInForce,
    private val exchange: Exchange,
    private val linkPort: Int,
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Heard(
        val status: GateStatus,
        val at: ComparableTimeMark,
    ) {
        val placed = AtomicInteger()
    }

    private val heard = ConcurrentHashMap<Address, Heard>()

    /** All engines, leaving ones too. */
    val all: List<EngineHost>
        get() = upstreams.all.filter(::isEngine).map { host(it) }

    /** The engine beside the daemon at [address]. */
    fun at(address: Address): EngineHost? = all.firstOrNull { it.address == address }

    private fun isEngine(upstream: ListedUpstream): Boolean =
        routes.table.value
            ?.services
            ?.get(upstream.service)
            ?.engine != null

    private fun host(upstream: ListedUpstream): EngineHost {
        val address = Address(upstream.address.ip, linkPort)
        val last = heard[address]?.takeIf { it.at.elapsedNow() < FRESH }
        return EngineHost(upstream, address, last?.status, last?.placed?.get() ?: 0)
    }

    /** A turn was sent to the daemon at [address]. */
    fun placed(address: Address) {
        heard[address]?.placed?.incrementAndGet()
    }

    /** The daemon at [address] did not answer. */
    fun lost(address: Address) {
        heard.remove(address)
    }

    /** Asks all daemons again and again, until cancelled. */
    suspend fun run() {
        coroutineScope {
            while (true) {
                all.map { it.address }.distinct().forEach { address -> launch { ask(address) } }
                delay(PERIOD)
            }
        }
    }

    private suspend fun ask(address: Address) {
        val status = exchange.ask(address, AskGate, FRESH) as? GateStatus
        if (status == null) heard.remove(address) else heard[address] = Heard(status, time.markNow())
    }

    private companion object {
        /** Loads change within a turn's time; asking more often costs more than it tells. */
        val PERIOD: Duration = 400.milliseconds
        val FRESH: Duration = 1500.milliseconds
    }
}
