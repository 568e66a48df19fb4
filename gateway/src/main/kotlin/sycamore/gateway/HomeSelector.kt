package sycamore.gateway

import sycamore.daemon.homes.HomeList
import sycamore.decisions.turns.Distance
import sycamore.decisions.turns.EnginePlacement
import sycamore.links.HomeEndpoint
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName
import kotlin.random.Random

/**
 * Selects the homes of programs whose first turn runs at an upstream without a gate, so that no engine determines the host.
 *
 * @param place the place of this gateway and its callers.
 * @param regions the region of each place.
 */
internal class HomeSelector(
    private val place: Place,
    private val regions: Map<PlaceName, RegionName>,
    private val homes: HomeList,
    private val engineHosts: EngineDirectory,
    private val random: Random = Random.Default,
) {
    /** Chooses a near home whose daemon has little to do. Returns null if no home accepts turns. */
    suspend fun choose(): HomeEndpoint? {
        val serving = homes.serving.distinctBy { it.address }
        val byDistance = serving.groupBy { Distance.between(place, it.home.place, regions) }
        for (distance in Distance.entries) {
            val near = byDistance[distance] ?: continue
            leastLoaded(near, EnginePlacement.SAMPLE_SIZE)?.let { return it }
        }
        return leastLoaded(serving, EnginePlacement.UNRESPONSIVE_SAMPLE_SIZE, retriesUnresponsive = true)
    }

    private suspend fun leastLoaded(
        homes: List<HomeEndpoint>,
        sampleSize: Int,
        retriesUnresponsive: Boolean = false,
    ): HomeEndpoint? {
        val sample = homes.shuffled(random).take(sampleSize).map { it.address }
        val ready = engineHosts.statuses(sample, retriesUnresponsive).filterValues { it.isReady }
        val (address, status) = ready.minByOrNull { it.value.running + it.value.waiting } ?: return null
        return HomeEndpoint(status.home, address)
    }
}
