package sycamore.gateway

import sycamore.decisions.turns.Distance
import sycamore.decisions.turns.EngineLoad
import sycamore.decisions.turns.EnginePlacement
import sycamore.links.HomeEndpoint
import sycamore.model.Address
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName
import sycamore.model.ServiceName
import kotlin.random.Random

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
    /**
     * Chooses the home of a new program of [service]: the one on the host of a lightly loaded and near engine that is
     * not [excluded]. Returns null if no engine accepts turns.
     */
    suspend fun chooseHome(
        service: ServiceName,
        excluded: Set<Address>,
    ): HomeEndpoint? = best(service, excluded)?.let { HomeEndpoint(it.status!!.home, it.address) }

    /** Chooses the engine on the host of [home] if it accepts turns of [service], and otherwise the best other one. */
    suspend fun chooseEngine(
        home: HomeEndpoint,
        service: ServiceName,
        excluded: Set<Address>,
    ): EngineHost? {
        val own = engineHosts.atAddress(home.address)?.takeIf { acceptsTurns(it, service, excluded) }
        return own ?: best(service, excluded)
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
        var best: EngineLoad<EngineHost>? = null
        for (distance in Distance.entries) {
            val sameDistance = byDistance[distance] ?: continue
            if (best != null && EnginePlacement.isGoodEnough(best, distance)) break
            val sample = engineHosts.refresh(sameDistance.shuffled(random).take(EnginePlacement.SAMPLE_SIZE))
            best = EnginePlacement.best(listOfNotNull(best) + sample.mapNotNull(::load))
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
        return EngineLoad(host, distance(host), status.wait, status.running + status.waiting + host.placed)
    }
}
