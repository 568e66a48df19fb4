package sycamore.daemon

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.launch
import sycamore.daemon.members.Gossiper
import sycamore.daemon.members.Load
import sycamore.daemon.spread.Spread
import sycamore.links.Exchange
import sycamore.links.GetChanges
import sycamore.links.GetPlaceReport
import sycamore.links.Gossip
import sycamore.links.MessageHandler
import sycamore.links.PlaceReport
import sycamore.links.Role
import sycamore.model.Host
import sycamore.services.KeyValue
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.TimeSource

/** The control plane part that every daemon runs: membership by gossip, and distribution of the configuration. */
class ControlPlane(
    private val self: Host,
    role: Role,
    private val members: Members,
    inForce: InForce,
    keys: KeyValue,
    exchange: Exchange,
    load: () -> Load = { Load() },
    clock: Clock = Clock.System,
    time: TimeSource = TimeSource.Monotonic,
    random: Random = Random.Default,
) {
    private val gossiper = Gossiper(self, role, members, inForce, exchange, load, clock, time, random = random)
    private val spread = Spread(inForce, keys, gossiper, exchange, random = random)

    /** Whether this daemon has announced that it is leaving. */
    val isLeaving: Boolean get() = gossiper.isLeaving

    /** Runs gossip and configuration distribution until cancelled. */
    suspend fun run() {
        coroutineScope {
            launch { gossiper.run() }
            launch { spread.run() }
        }
    }

    /** Announces that this daemon is leaving. Called before the daemon stops accepting new work. */
    suspend fun leave() = gossiper.leave()

    /** Returns a handler that responds to control plane messages and passes all others to [serve]. */
    fun wrapHandler(serve: MessageHandler): MessageHandler =
        { from, message ->
            when (message) {
                is Gossip -> flowOf(gossiper.respond(message))
                is GetChanges -> spread.respond(message)
                is GetPlaceReport -> flowOf(report())
                else -> serve(from, message)
            }
        }

    private fun report(): PlaceReport {
        members.record(gossiper.summary())
        val own = members.reportedStates.filter { it.host.place == self.place && it.host.name != self.name }
        return PlaceReport(own + gossiper.ownState(), members.places.toList())
    }
}
