package sycamore.decisions

import sycamore.model.Link
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Latency and billing of traffic between places. */
class Network(
    places: List<Place>,
    links: List<Link>,
) {
    private val regions: Map<PlaceName, RegionName> = places.associate { it.name to it.region }
    private val byEnds: Map<Pair<RegionName, RegionName>, Link> =
        links.flatMap { listOf((it.from to it.to) to it, (it.to to it.from) to it) }.toMap()

    /** One-way latency from [from] to [to]. */
    fun latency(
        from: PlaceName,
        to: PlaceName,
    ): Duration = if (from == to) Duration.ZERO else link(from, to)?.latency ?: WITHIN_REGION

    /** Whether traffic between [from] and [to] is billed by volume. */
    fun isBilled(
        from: PlaceName,
        to: PlaceName,
    ): Boolean = from != to && link(from, to)?.billed ?: false

    private fun link(
        from: PlaceName,
        to: PlaceName,
    ): Link? {
        val a = regions[from] ?: return null
        val b = regions[to] ?: return null
        return if (a == b) null else byEnds[a to b]
    }

    companion object {
        /** One-way latency between places of one region. */
        val WITHIN_REGION = 1.milliseconds
    }
}
