package sycamore.routing

import kotlinx.serialization.Serializable
import sycamore.model.Address
import sycamore.model.PlaceName
import sycamore.model.ServiceName
import kotlin.time.Duration

/** Names one start of an upstream. */
@Serializable
@JvmInline
value class UpstreamId(
    val value: String,
) {
    override fun toString(): String = value
}

/**
 * An upstream as it registered itself.
 *
 * @property isLeaving whether it takes no new calls.
 * @property slots calls that it works on at once.
 * @property slowFor how much longer it is slow after its start.
 * @property bornMillis when it started, in milliseconds since 1970; tells two starts under one id apart.
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
