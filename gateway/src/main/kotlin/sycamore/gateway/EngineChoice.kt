package sycamore.gateway

import sycamore.decisions.turns.Distance
import sycamore.decisions.turns.EngineLoad
import sycamore.decisions.turns.EnginePlacement
import sycamore.links.HomeEndpoint
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName
import sycamore.model.ServiceName
import sycamore.routing.UpstreamId
import kotlin.random.Random

/**
 * Which engine a turn goes to, for callers of [place].
 *
 * @param regions the region of each place.
 */
internal class EngineChoice(
    private val place: Place,
    private val regions: Map<PlaceName, RegionName>,
    private val board: EngineBoard,
    private val random: Random = Random.Default,
) {
    /** Where a new program of [service] lives: beside a good engine but those [excluded]; null when none takes turns. */
    suspend fun newHome(
        service: ServiceName,
        excluded: Set<UpstreamId>,
    ): HomeEndpoint? = best(service, excluded)?.let { HomeEndpoint(it.status!!.home, it.address) }

    /** The engine beside [home] if it takes turns of [service], or else a good other one. */
    suspend fun target(
        home: HomeEndpoint,
        service: ServiceName,
        excluded: Set<UpstreamId>,
    ): EngineHost? {
        val own = board.at(home.address)?.takeIf { takesTurns(it, service, excluded) }
        return own ?: best(service, excluded)
    }

    /** Compares a few engines of this place, and a few farther ones if those are loaded. */
    private suspend fun best(
        service: ServiceName,
        excluded: Set<UpstreamId>,
    ): EngineHost? {
        val byDistance = board.all.filter { takesTurns(it, service, excluded) }.groupBy(::distance)
        var best: EngineLoad<EngineHost>? = null
        for (distance in Distance.entries) {
            val hosts = byDistance[distance] ?: continue
            if (best != null && EnginePlacement.isGoodEnough(best, distance)) break
            val sample = board.refresh(hosts.shuffled(random).take(EnginePlacement.SAMPLE))
            best = EnginePlacement.best(listOfNotNull(best) + sample.mapNotNull(::load))
        }
        return best?.engine
    }

    private fun takesTurns(
        host: EngineHost,
        service: ServiceName,
        excluded: Set<UpstreamId>,
    ): Boolean = !host.upstream.isLeaving && host.upstream.service == service && host.upstream.id !in excluded

    private fun distance(host: EngineHost): Distance = Distance.between(place, host.upstream.place, regions)

    /** The load of [host]; null when its daemon takes no turns, or did not answer. */
    private fun load(host: EngineHost): EngineLoad<EngineHost>? {
        val status = host.status?.takeIf { it.isReady } ?: return null
        return EngineLoad(host, distance(host), status.wait, status.running + status.waiting + host.placed)
    }
}
