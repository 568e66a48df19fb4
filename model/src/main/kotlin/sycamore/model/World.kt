package sycamore.model

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** A data centre and the region that it stands in. */
@Serializable
data class Place(
    val name: PlaceName,
    val region: RegionName,
)

/** The network between two regions. Traffic across a [billed] link is paid for by volume. */
@Serializable
data class Link(
    val from: RegionName,
    val to: RegionName,
    val latency: Duration,
    val billed: Boolean,
)

/** A machine that runs one daemon of the system, reached at [address]. */
@Serializable
data class Host(
    val name: HostName,
    val place: PlaceName,
    val address: Address,
    val incarnation: Incarnation,
)

/**
 * A back end of a service, beside which a host daemon runs.
 *
 * @property capacity how many calls it may work on at once.
 * @property models what a model engine may load; empty for a plain service.
 * @property memory bytes that an engine's prefix cache may hold.
 * @property checksFencing whether it refuses orders with an old fencing number.
 */
@Serializable
data class Upstream(
    val host: HostName,
    val place: PlaceName,
    val address: Address,
    val capacity: Int,
    val models: List<ModelName> = emptyList(),
    val memory: Long = 0,
    val checksFencing: Boolean = false,
)
