package sycamore.bench.history

import sycamore.model.HostName
import sycamore.model.RegionName

/** The faults that are active at present. [Faults] changes it; the simulated network and upstreams read it. */
internal class FaultState(
    private val regionOf: (HostName) -> RegionName,
) {
    /** The region that is partitioned from all others, or null. */
    var isolatedRegion: RegionName? = null

    /** The pairs of hosts between which replies are lost; see [LinkState.SILENT]. */
    val silentLinks = HashSet<Set<HostName>>()

    /** The hosts whose upstreams hang. */
    val hungHosts = HashSet<HostName>()

    /** The present state of the link between two hosts. */
    fun linkState(
        from: HostName,
        to: HostName,
    ): LinkState =
        when {
            setOf(from, to) in silentLinks -> LinkState.SILENT
            (regionOf(from) == isolatedRegion) != (regionOf(to) == isolatedRegion) -> LinkState.CUT
            else -> LinkState.OPEN
        }
}
