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
 * Load of a daemon at one moment.
 *
 * @property residentTokens tokens in its engine's prefix cache.
 */
data class Load(
    val queued: Int = 0,
    val running: Int = 0,
    val capacity: Int = 0,
    val residentTokens: Long = 0,
)

/**
 * Keeps [members] up to date by exchanging news with daemons drawn at random: each period one of the same place. The
 * delegates of a place, its first few daemons by name, also exchange its summary with one daemon of each other place.
 *
 * Bytes for each daemon depend on the period and on [GossipBounds.news], not on the number of members.
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
    private val heard = ConcurrentHashMap<HostName, TimeMark>()
    private val told = ConcurrentHashMap<HostName, Int>()

    @Volatile
    private var beat = 0L

    /** Whether this daemon says that it leaves. */
    @Volatile
    var isLeaving = false
        private set

    /** Told of each daemon whose configuration may be newer than this one's. */
    var onNewer: (Address) -> Unit = {}

    /** Answers [gossip] with this daemon's own news. */
    fun answer(gossip: Gossip): Gossip {
        take(gossip)
        return if (gossip.isOwnStateOnly) Gossip(word()) else news()
    }

    /** Exchanges news until cancelled. */
    suspend fun run() {
        coroutineScope {
            launch { runBetweenPlaces() }
            while (true) {
                delay(bounds.period * random.nextDouble(0.5, 1.5))
                forgetSilent()
                draw(inPlace())?.let { launch { gossipWith(it) } }
            }
        }
    }

    /** Tells some daemons at once that this one leaves; they pass it on. */
    suspend fun leave() {
        isLeaving = true
        spreadNow()
    }

    /** Exchanges news at once with a few daemons of the place, and one of each other place. */
    suspend fun spreadNow() {
        coroutineScope {
            val near = inPlace().shuffled(random).take(bounds.rumour)
            val far = byPlace().filterKeys { it != self.place }.values.mapNotNull(::draw)
            (near + far).forEach { launch { gossipWith(it, Gossip(word(), isOwnStateOnly = true)) } }
        }
    }

    /** Whether this daemon is among the first [count] of its place by name; each daemon judges by what it knows. */
    fun isAmongFirst(count: Int): Boolean = rank() < count

    /** How many members of the place come before this one by name. */
    fun rank(): Int =
        members.sighted.count { it.host.place == self.place && !it.leaving && it.host.name.value < self.name.value }

    private suspend fun runBetweenPlaces() {
        while (true) {
            delay(bounds.betweenPlaces * random.nextDouble(0.5, 1.5))
            if (!isAmongFirst(bounds.delegates)) continue
            members.learn(summary())
            coroutineScope {
                byPlace().filterKeys { it != self.place }.values.mapNotNull(::draw).forEach { to ->
                    launch { gossipWith(to) }
                }
            }
        }
    }

    private suspend fun gossipWith(
        to: Address,
        gossip: Gossip = news(),
    ) {
        try {
            val reply = withTimeoutOrNull(bounds.limit) { exchange(to, gossip).firstOrNull() }
            (reply as? Gossip)?.let(::take)
        } catch (_: LinkException) {
            // A daemon that cannot be reached is forgotten once nobody has heard of it for long.
        }
    }

    private fun take(gossip: Gossip) {
        val fresh = (gossip.members + gossip.from).filter { it.host.name != self.name && members.learn(it) }
        fresh.forEach {
            heard[it.host.name] = time.markNow()
            told[it.host.name] = 0
        }
        gossip.places.forEach(members::learn)
        if (gossip.from.generation > inForce.generation) onNewer(gossip.from.host.address)
    }

    /** This daemon's word, the members' words that it has passed on least, and the places' summaries. */
    private fun news(): Gossip {
        val counted =
            members.sighted
                .filter { it.host.place == self.place || it.leaving }
                .map { it to (told[it.host.name] ?: 0) }
        val least =
            counted
                .shuffled(random)
                .sortedWith(compareBy({ (seen, times) -> !seen.leaving || times > bounds.rumour }, { it.second }))
                .take(bounds.news)
                .map { it.first }
        least.forEach { told.merge(it.host.name, 1, Int::plus) }
        return Gossip(word(), least, members.places.shuffled(random).take(bounds.places))
    }

    /** What this daemon says of itself now. */
    internal fun word(): ReportedState {
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

    /** What this daemon knows of its place. */
    fun summary(): PlaceSummary {
        val place = members.sighted.filter { it.host.place == self.place && it.host.name != self.name } + word()
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

    private fun forgetSilent() {
        heard.filterValues { it.elapsedNow() > bounds.silence }.keys.forEach {
            heard.remove(it)
            told.remove(it)
            members.forget(it)
        }
    }

    private fun inPlace(): List<Address> = byPlace()[self.place].orEmpty()

    private fun byPlace(): Map<PlaceName, List<Address>> {
        val hosts = members.all.map { it.place to (it.name to it.address) }
        val sighted = members.sighted.map { it.host.place to (it.host.name to it.host.address) }
        return (hosts + sighted)
            .filter { it.second.first != self.name }
            .distinct()
            .groupBy({ it.first }, { it.second.second })
    }

    private fun draw(from: List<Address>): Address? = from.randomOrNull(random)
}

/**
 * How much a [Gossiper] says.
 *
 * @property period between exchanges of one daemon.
 * @property betweenPlaces between a delegate's exchanges with other places.
 * @property limit of one exchange.
 * @property silence after which a daemon that nobody heard of is forgotten.
 * @property news members' words in one message.
 * @property places summaries in one message.
 * @property rumour daemons told at once of what cannot wait.
 * @property delegates daemons of a place that speak to other places.
 */
data class GossipBounds(
    val period: Duration = 2.seconds,
    val betweenPlaces: Duration = 5.seconds,
    val limit: Duration = 2.seconds,
    val silence: Duration = 60.seconds,
    val news: Int = 12,
    val places: Int = 2,
    val rumour: Int = 4,
    val delegates: Int = 2,
)
