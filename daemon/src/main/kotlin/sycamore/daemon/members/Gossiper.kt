package sycamore.daemon.members

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.InForce
import sycamore.daemon.Members
import sycamore.links.Exchange
import sycamore.links.Gossip
import sycamore.links.LinkException
import sycamore.links.PlaceSummary
import sycamore.links.ReportedState
import sycamore.links.Role
import sycamore.model.Address
import sycamore.model.Host
import sycamore.model.HostName
import sycamore.model.PlaceName
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * The load of a daemon at one moment.
 *
 * @property queued the number of queued calls.
 * @property running the number of running calls.
 * @property capacity the number of calls that can run at once.
 * @property residentTokens the number of tokens in the prefix cache of its engine.
 */
data class Load(
    val queued: Int = 0,
    val running: Int = 0,
    val capacity: Int = 0,
    val residentTokens: Long = 0,
)

/**
 * Keeps [members] up to date by gossip: in each period, exchanges messages with one random daemon of the same place.
 * The delegates of a place, its first few daemons by name, also exchange its summary with one daemon of each other
 * place.
 *
 * The traffic of a daemon depends on the period and on [GossipBounds.membersPerMessage], not on the number of members.
 */
class Gossiper(
    private val self: Host,
    private val role: Role,
    private val members: Members,
    private val inForce: InForce,
    private val exchange: Exchange,
    private val load: () -> Load = { Load() },
    clock: Clock = Clock.System,
    private val time: TimeSource = TimeSource.Monotonic,
    private val bounds: GossipBounds = GossipBounds(),
    private val random: Random = Random.Default,
) {
    private val clock = clock
    private val startedAt = clock.now().toEpochMilliseconds()
    private val lastReports = ConcurrentHashMap<HostName, TimeMark>()
    private val sentCounts = ConcurrentHashMap<HostName, Int>()

    @Volatile
    private var beat = 0L

    /** Whether this daemon reports that it is leaving. */
    @Volatile
    var isLeaving = false
        private set

    /** Called with the address of each daemon whose configuration may be newer than that of this daemon. */
    var onNewerGeneration: (Address) -> Unit = {}

    /** Merges [gossip] and returns the message to respond with. */
    fun respond(gossip: Gossip): Gossip {
        merge(gossip)
        return if (gossip.isOwnStateOnly) Gossip(ownState()) else nextMessage()
    }

    /** Exchanges gossip messages until cancelled. */
    suspend fun run() {
        coroutineScope {
            launch { exchangeBetweenPlaces() }
            while (true) {
                delay(bounds.period * random.nextDouble(0.5, 1.5))
                removeUnresponsive()
                pickRandom(addressesInPlace())?.let { launch { exchangeWith(it) } }
            }
        }
    }

    /** Announces to some daemons at once that this one is leaving; they pass it on. */
    suspend fun leave() {
        isLeaving = true
        announce()
    }

    /** Exchanges own states at once with a few daemons of this place and one daemon of each other place. */
    suspend fun announce() {
        coroutineScope {
            val near = addressesInPlace().shuffled(random).take(bounds.announceFanout)
            val far = addressesByPlace().filterKeys { it != self.place }.values.mapNotNull(::pickRandom)
            (near + far).forEach { launch { exchangeWith(it, Gossip(ownState(), isOwnStateOnly = true)) } }
        }
    }

    /** Whether this daemon is among the first [count] of its place by name, according to its own list of members. */
    fun isAmongFirst(count: Int): Boolean = rank() < count

    /** The number of members of the place, without leaving ones, whose names sort before that of this daemon. */
    fun rank(): Int =
        members.reportedStates.count {
            it.host.place == self.place && !it.leaving && it.host.name.value < self.name.value
        }

    private suspend fun exchangeBetweenPlaces() {
        while (true) {
            delay(bounds.betweenPlacesPeriod * random.nextDouble(0.5, 1.5))
            if (!isAmongFirst(bounds.delegates)) continue
            members.record(summary())
            coroutineScope {
                addressesByPlace().filterKeys { it != self.place }.values.mapNotNull(::pickRandom).forEach { to ->
                    launch { exchangeWith(to) }
                }
            }
        }
    }

    private suspend fun exchangeWith(
        to: Address,
        gossip: Gossip = nextMessage(),
    ) {
        try {
            val reply = withTimeoutOrNull(bounds.exchangeTimeout) { exchange(to, gossip).firstOrNull() }
            (reply as? Gossip)?.let(::merge)
        } catch (_: LinkException) {
            // An unreachable daemon is removed once no report of it has arrived for `unresponsiveTimeout`.
        }
    }

    private fun merge(gossip: Gossip) {
        val fresh = (gossip.members + gossip.from).filter { it.host.name != self.name && members.record(it) }
        fresh.forEach {
            lastReports[it.host.name] = time.markNow()
            sentCounts[it.host.name] = 0
        }
        gossip.places.forEach(members::record)
        if (gossip.from.generation > inForce.generation) onNewerGeneration(gossip.from.host.address)
    }

    /** Builds a message from this daemon's state, the members' states that were sent least often, and summaries. */
    private fun nextMessage(): Gossip {
        val candidates =
            members.reportedStates
                .filter { it.host.place == self.place || it.leaving }
                .map { it to (sentCounts[it.host.name] ?: 0) }
        val leastSent =
            candidates
                .shuffled(random)
                .sortedWith(
                    compareBy({ (state, sent) -> !state.leaving || sent > bounds.announceFanout }, { it.second }),
                ).take(bounds.membersPerMessage)
                .map { it.first }
        leastSent.forEach { sentCounts.merge(it.host.name, 1, Int::plus) }
        return Gossip(ownState(), leastSent, members.places.shuffled(random).take(bounds.summariesPerMessage))
    }

    /** Returns this daemon's current state, under a new heartbeat number. */
    internal fun ownState(): ReportedState {
        val now = load()
        return ReportedState(
            self,
            role,
            startedAt,
            ++beat,
            inForce.generation,
            isLeaving,
            now.queued,
            now.running,
            now.capacity,
            now.residentTokens,
        )
    }

    /** Summarizes the members of this daemon's place that it knows. */
    fun summary(): PlaceSummary {
        val place =
            members.reportedStates.filter { it.host.place == self.place && it.host.name != self.name } + ownState()
        val newest = place.maxOf { it.generation }
        return PlaceSummary(
            place = self.place,
            at = clock.now().toEpochMilliseconds(),
            daemons = place.size,
            leaving = place.count { it.leaving },
            generation = newest,
            behind = place.count { it.generation < newest },
            queued = place.sumOf { it.queued },
            running = place.sumOf { it.running },
            capacity = place.sumOf { it.capacity },
            residentTokens = place.sumOf { it.residentTokens },
        )
    }

    private fun removeUnresponsive() {
        lastReports.filterValues { it.elapsedNow() > bounds.unresponsiveTimeout }.keys.forEach {
            lastReports.remove(it)
            sentCounts.remove(it)
            members.remove(it)
        }
    }

    private fun addressesInPlace(): List<Address> = addressesByPlace()[self.place].orEmpty()

    private fun addressesByPlace(): Map<PlaceName, List<Address>> {
        val hosts = members.all.map { it.place to (it.name to it.address) }
        val reported = members.reportedStates.map { it.host.place to (it.host.name to it.host.address) }
        return (hosts + reported)
            .filter { it.second.first != self.name }
            .distinct()
            .groupBy({ it.first }, { it.second.second })
    }

    private fun pickRandom(from: List<Address>): Address? = from.randomOrNull(random)
}

/**
 * The timing and the message sizes of a [Gossiper].
 *
 * @property period the average time between two exchanges of a daemon.
 * @property betweenPlacesPeriod the average time between two exchanges of a delegate with other places.
 * @property exchangeTimeout the timeout of one exchange.
 * @property unresponsiveTimeout the time without a newer report after which a daemon is removed.
 * @property membersPerMessage the maximum number of members' states in one message.
 * @property summariesPerMessage the maximum number of summaries of places in one message.
 * @property announceFanout the number of daemons of the place that are notified at once of an urgent change. Until the
 *   state of a leaving member has been sent more often than this, it is sent ahead of other states.
 * @property delegates the number of daemons of a place that exchange messages with other places.
 */
data class GossipBounds(
    val period: Duration = 2.seconds,
    val betweenPlacesPeriod: Duration = 5.seconds,
    val exchangeTimeout: Duration = 2.seconds,
    val unresponsiveTimeout: Duration = 60.seconds,
    val membersPerMessage: Int = 12,
    val summariesPerMessage: Int = 2,
    val announceFanout: Int = 4,
    val delegates: Int = 2,
)
