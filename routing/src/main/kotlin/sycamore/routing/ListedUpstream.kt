package sycamore.routing

import kotlinx.serialization.Serializable
import sycamore.model.Address
import sycamore.model.PlaceName
import sycamore.model.ServiceName
import kotlin.time.Duration

/** Identifies one start of an upstream. */
@Serializable
@JvmInline
value class UpstreamId(
    val value: String,
) {
    override fun toString(): String = value
}

/**
 * Registration of an upstream, as the upstream itself wrote it.
 *
 * @property isLeaving whether it accepts no new calls.
 * @property slots maximum number of calls that it works on at once.
 * @property slowFor remaining time for which it is slow after its start.
 * @property bornMillis time of its start in milliseconds since 1970, which distinguishes two starts under the same id.
 */
@Serializable
data class ListedUpstream(
    val id: UpstreamId,
    val service: ServiceName,
    val address: Address,
    val place: PlaceName,
    val isLeaving: Boolean,
    val slots: Int,
    val slowFor: Duration = Duration.ZERO,
    val bornMillis: Long? = null,
)
