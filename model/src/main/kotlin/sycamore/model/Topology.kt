package sycamore.model

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** A data centre and its region. */
@Serializable
data class Place(
    val name: PlaceName,
    val region: RegionName,
)

/** The network link between two regions. Traffic across a [billed] link is paid for by volume. */
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
 * A back end of a service. A daemon of the system runs on the same host.
 *
 * @property capacity the number of calls that it can process concurrently.
 * @property models the models that a model engine may load; empty for a plain service.
 * @property memory the size of an engine's prefix cache in bytes.
 * @property checksFencing whether it refuses orders with an outdated fencing number.
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
