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

/** What every daemon does besides its own work: it knows the others, and the configuration in force. */
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

    /** Whether this daemon has said that it leaves. */
    val isLeaving: Boolean get() = gossiper.isLeaving

    /** Does the work until cancelled. */
    suspend fun run() {
        coroutineScope {
            launch { gossiper.run() }
            launch { spread.run() }
        }
    }

    /** Says that this daemon leaves, before it takes no new work. */
    suspend fun leave() = gossiper.leave()

    /** Answers the messages of the control plane, and leaves all others to [serve]. */
    fun around(serve: MessageHandler): MessageHandler =
        { from, message ->
            when (message) {
                is Gossip -> flowOf(gossiper.answer(message))
                is GetChanges -> spread.answer(message)
                is GetPlaceReport -> flowOf(report())
                else -> serve(from, message)
            }
        }

    private fun report(): PlaceReport {
        members.learn(gossiper.summary())
        val own = members.sighted.filter { it.host.place == self.place && it.host.name != self.name }
        return PlaceReport(own + gossiper.word(), members.places.toList())
    }
}
