package sycamore.host

import sycamore.daemon.Members
import sycamore.model.Configuration
import sycamore.model.Host
import sycamore.model.HostName
import sycamore.model.PlaceName
import sycamore.model.RegionName
import sycamore.programs.Rendezvous

/** Chooses the hosts that retain records of a home. */
internal class RetainerSelector(
    private val self: Host,
    private val members: Members,
    private val count: Int,
    private val configuration: () -> Configuration?,
) {
    private var last: List<HostName> = emptyList()

    /**
     * Returns the hosts to use, preferring hosts in other places of the same region, then those in other regions, then
     * those in this place. The choice is kept until one of the hosts is leaving or no longer listed, since a change
     * takes effect only once it is committed.
     */
    fun choose(): List<HostName> {
        val regions = configuration()?.places.orEmpty().associate { it.name to it.region }
        val candidates = members.all.filter { it.name != self.name && !it.leaving }
        val names = candidates.map { it.name }.toSet()
        if (last.size == count && names.containsAll(last)) return last
        val ordered = Rendezvous.order(self.name.value, candidates.map { it.name }).withIndex()
        val place = candidates.associate { it.name to it.place }
        last =
            ordered
                .sortedWith(compareBy({ preference(place.getValue(it.value), regions) }, { it.index }))
                .take(count)
                .map { it.value }
        return last
    }

    /** Returns the rank of hosts in [place]; the lowest is preferred. */
    private fun preference(
        place: PlaceName,
        regions: Map<PlaceName, RegionName>,
    ): Int =
        when {
            place == self.place -> SAME_PLACE
            regions[place] == regions[self.place] -> SAME_REGION
            else -> OTHER_REGION
        }

    private companion object {
        const val SAME_REGION = 0
        const val OTHER_REGION = 1
        const val SAME_PLACE = 2
    }
}
