package sycamore.bench.history

import sycamore.model.HostName
import sycamore.model.RegionName

/** The faults that are going on now. Changed by [Faults], asked by the fakes. */
internal class FaultState(
    private val regionOf: (HostName) -> RegionName,
) {
    /** The region that is parted from all others, or null. */
    var partedRegion: RegionName? = null

    /** Pairs of hosts whose connections are silent. */
    val silent = HashSet<Set<HostName>>()

    /** The hosts whose upstreams hang. */
    val hung = HashSet<HostName>()

    /** What the link between two hosts does now. */
    fun link(
        from: HostName,
        to: HostName,
    ): LinkState =
        when {
            setOf(from, to) in silent -> LinkState.SILENT
            (regionOf(from) == partedRegion) != (regionOf(to) == partedRegion) -> LinkState.CUT
            else -> LinkState.OPEN
        }
}
