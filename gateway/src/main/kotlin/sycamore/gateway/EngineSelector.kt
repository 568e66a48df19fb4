package sycamore.gateway

import sycamore.decisions.pace.ChosenEngine
import sycamore.decisions.pace.EngineCandidate
import sycamore.decisions.pace.EngineChoice
import sycamore.decisions.turns.Distance
import sycamore.decisions.turns.EngineLoad
import sycamore.decisions.turns.EnginePlacement
import sycamore.links.HomeEndpoint
import sycamore.model.Address
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName
import sycamore.model.ServiceName
import kotlin.math.roundToInt
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * An engine that was selected for a turn.
 *
 * @property reason why it was selected, for the log.
 * @property unread the estimated number of prompt tokens that it has to read; null if it is not known.
 */
internal class SelectedEngine(
    val host: EngineHost,
    val reason: String,
    val unread: Long? = null,
)

/**
 * Selects the engines to which turns are sent.
 *
 * @param place the place of this gateway and its callers.
 * @param regions the region of each place.
 */
internal class EngineSelector(
    private val place: Place,
    private val regions: Map<PlaceName, RegionName>,
    private val engineHosts: EngineDirectory,
    private val random: Random = Random.Default,
) {
    private val held = ProgramPrompts()

    /**
     * Chooses the home of a new program of [service]: the one on the host of a lightly loaded and near engine that is
     * not [excluded]. Returns null if no engine accepts turns.
     */
    suspend fun chooseHome(
        service: ServiceName,
        excluded: Set<Address>,
    ): HomeEndpoint? = best(service, excluded)?.let { HomeEndpoint(it.status!!.home, it.address) }

    /**
     * Chooses the engine for a turn of a program whose home is [home], by the expected end of the turn: the engine on the
     * home's host, unless the turn is expected to end much earlier elsewhere. Returns null if no engine accepts turns.
     */
    suspend fun chooseEngine(
        home: HomeEndpoint,
        turn: TurnPrompt,
        excluded: Set<Address>,
    ): SelectedEngine? {
        val service = turn.service
        val own = engineHosts.atAddress(home.address)?.takeIf { acceptsTurns(it, service, excluded) }
        if (own == null) return best(service, excluded)?.let { SelectedEngine(it, "the home has no engine") }
        val typical = engineHosts.typicalPace(service)
        if (typical == null || own.status == null) return SelectedEngine(own, "home, not compared")
        val choice = EngineChoice(typical, turn.outputHint?.toDouble())
        val hosts = engineHosts.all.filter { it.address != own.address && acceptsTurns(it, service, excluded) }

        fun candidate(host: EngineHost) = candidate(host, own.upstream.place, turn)
        val ownCandidate = candidate(own)
        val last = held.lastEngine(turn)?.let { id -> hosts.firstOrNull { it.upstream.id == id && it.isReady } }
        val stay = if (last == null || choice.isUnloaded(ownCandidate)) ownCandidate else candidate(last)
        val isUnloaded = choice.isUnloaded(stay)
        val others =
            (hosts + own)
                .filter { it !== stay.engine && (!isUnloaded || it === last || choice.isFaster(it.pace)) }
                .map(::candidate)
        val compared = choice.worthComparing(stay, others, random).map { it.engine }
        val refreshed = engineHosts.refresh(compared, maxWait = COMPARISON_WAIT).filter { it.isReady }
        val chosen = choice.choose(stay, refreshed.map(::candidate))
        return SelectedEngine(chosen.engine, describe(chosen, stay.engine), candidate(chosen.engine).unread)
    }

    /** Records that the engine [host] has run [turn] and holds its prompt. */
    fun recordRun(
        host: EngineHost,
        turn: TurnPrompt,
    ) = held.record(host, turn)

    private val EngineHost.isReady: Boolean get() = status?.isReady == true

    private fun candidate(
        host: EngineHost,
        homePlace: PlaceName,
        turn: TurnPrompt,
    ): EngineCandidate<EngineHost> {
        val distance =
            Distance.between(
                Place(homePlace, regions[homePlace] ?: place.region),
                host.upstream.place,
                regions,
            )
        val status = host.status
        val turns = if (status == null) 0 else status.running + status.waiting + host.placed
        return EngineCandidate(
            host,
            distance,
            status?.wait ?: Duration.ZERO,
            turns,
            host.slots,
            host.pace,
            held.unread(host, turn),
        )
    }

    private fun describe(
        chosen: ChosenEngine<EngineHost>,
        stay: EngineHost,
    ): String {
        val host = chosen.engine
        val expected = "expected in ${chosen.expected?.inWholeMilliseconds} ms"
        val pace = host.pace
        val learned =
            pace?.let {
                "${it.tokenTime.inWholeMicroseconds} us a token, slowdown ${(it.slowdown * PERCENT).roundToInt()}%, " +
                    "${host.age.inWholeMilliseconds} ms old"
            }
        val compared =
            chosen.stayed?.let { ", instead of ${stay.upstream.id} with ${it.inWholeMilliseconds} ms" }.orEmpty()
        return "$expected$compared; ${learned ?: "no pace known"}"
    }

    private suspend fun best(
        service: ServiceName,
        excluded: Set<Address>,
    ): EngineHost? {
        val hosts = engineHosts.all.filter { acceptsTurns(it, service, excluded) }
        return bestOfSample(hosts) ?: bestOfUnresponsive(hosts)
    }

    /** Compares a few engines of this place, and a few more distant ones if those are loaded. */
    private suspend fun bestOfSample(hosts: List<EngineHost>): EngineHost? {
        val byDistance = hosts.groupBy(::distance)
        val typical = hosts.firstOrNull()?.let { engineHosts.typicalPace(it.upstream.service) }
        var best: EngineLoad<EngineHost>? = null
        for (distance in Distance.entries) {
            val sameDistance = byDistance[distance] ?: continue
            if (best != null && EnginePlacement.isGoodEnough(best, distance, typical)) break
            val sample = engineHosts.refresh(sameDistance.shuffled(random).take(EnginePlacement.SAMPLE_SIZE))
            best = EnginePlacement.best(listOfNotNull(best) + sample.mapNotNull(::load), typical)
        }
        return best?.engine
    }

    /** Asks a few engines that have not responded lately, since none of [hosts] is known to accept turns. */
    private suspend fun bestOfUnresponsive(hosts: List<EngineHost>): EngineHost? {
        val sample = hosts.shuffled(random).take(EnginePlacement.UNRESPONSIVE_SAMPLE_SIZE)
        return EnginePlacement.best(engineHosts.refresh(sample, retriesUnresponsive = true).mapNotNull(::load))?.engine
    }

    private fun acceptsTurns(
        host: EngineHost,
        service: ServiceName,
        excluded: Set<Address>,
    ): Boolean = !host.upstream.isLeaving && host.upstream.service == service && host.upstream.address !in excluded

    private fun distance(host: EngineHost): Distance = Distance.between(place, host.upstream.place, regions)

    /** The load of [host]; null if its daemon accepts no turns or did not respond. */
    private fun load(host: EngineHost): EngineLoad<EngineHost>? {
        val status = host.status?.takeIf { it.isReady } ?: return null
        return EngineLoad(host, distance(host), status.wait, status.running + status.waiting + host.placed, host.pace)
    }

    private companion object {
        /** More than the round trip to another region, and little beside the duration of a turn. */
        val COMPARISON_WAIT = 30.milliseconds
        const val PERCENT = 100
    }
}
