package sycamore.links

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import sycamore.model.ConfigurationDelta
import sycamore.model.Generation
import sycamore.model.Host
import sycamore.model.PlaceName

/** The kind of a daemon. */
@Serializable
enum class Role {
    HOST,
    ENTRY,
}

/**
 * The last reported state of a daemon, as gossip passes it on.
 *
 * @property startedAt the start of this incarnation of the daemon, in milliseconds since 1970; a later incarnation
 * replaces an earlier one.
 * @property beat a version number, which the daemon raises with each new state of this incarnation.
 * @property generation the configuration that is in force there.
 * @property leaving whether the daemon is shutting down and accepts no new work.
 * @property queued the number of calls that wait for the daemon's engine.
 * @property running the number of calls in progress.
 * @property capacity the number of calls that its engine runs at once.
 * @property residentTokens the tokens in the prefix cache of its engine.
 */
@Serializable
@SerialName("sycamore.links.Sighting")
data class ReportedState(
    @CborLabel(1) val host: Host,
    @CborLabel(2) val role: Role,
    @CborLabel(3) val startedAt: Long,
    @CborLabel(4) val beat: Long,
    @CborLabel(5) val generation: Generation,
    @CborLabel(6) val leaving: Boolean = false,
    @CborLabel(7) val queued: Int = 0,
    @CborLabel(8) val running: Int = 0,
    @CborLabel(9) val capacity: Int = 0,
    @CborLabel(10) val residentTokens: Long = 0,
)

/**
 * The totals over the daemons of a place, as gossip passes them on to other places.
 *
 * @property at when the summary was made, in milliseconds since 1970.
 * @property leaving the number of daemons that are leaving.
 * @property generation the newest configuration of any daemon of the place.
 * @property behind the number of daemons whose configuration is older than [generation].
 */
@Serializable
data class PlaceSummary(
    @CborLabel(1) val place: PlaceName,
    @CborLabel(2) val at: Long,
    @CborLabel(3) val daemons: Int,
    @CborLabel(4) val leaving: Int,
    @CborLabel(5) val generation: Generation,
    @CborLabel(6) val behind: Int,
    @CborLabel(7) val queued: Int,
    @CborLabel(8) val running: Int,
    @CborLabel(9) val capacity: Int,
    @CborLabel(10) val residentTokens: Long,
)

/**
 * Gossip message between daemons: the states of daemons and places that the sender knows. Answered by a [Gossip] of the
 * receiver.
 *
 * @property from the state of the sender itself.
 * @property isOwnStateOnly whether the message carries the state of its sender only, and the answer shall do the same.
 */
@Serializable
@SerialName("gossip")
data class Gossip(
    @CborLabel(1) val from: ReportedState,
    @CborLabel(2) val members: List<ReportedState> = emptyList(),
    @CborLabel(3) val places: List<PlaceSummary> = emptyList(),
    @CborLabel(4) @SerialName("isRumour") val isOwnStateOnly: Boolean = false,
) : Message

/**
 * Request for the changes of the configuration since generation [above]. Answered by [ConfigurationChange] messages, by
 * [ConfigurationBytes], or by no message.
 */
@Serializable
@SerialName("changes?")
data class GetChanges(
    @CborLabel(1) val above: Generation,
) : Message

/** Reply to [GetChanges]: the changes of one generation. There is one reply for each generation, in ascending order. */
@Serializable
@SerialName("change")
data class ConfigurationChange(
    @CborLabel(1) val delta: ConfigurationDelta,
) : Message

/** Reply to [GetChanges]: the complete configuration, as compressed JSON. */
@Serializable
@SerialName("bytes")
class ConfigurationBytes(
    @CborLabel(1) val bytes: ByteArray,
) : Message

/** Request of an operator to any daemon for the state of all places. Answered by [PlaceReport]. */
@Serializable
@SerialName("place?")
data object GetPlaceReport : Message

/** Reply to [GetPlaceReport]: the daemons of the sender's place, and the summaries of all places that it knows. */
@Serializable
@SerialName("place")
data class PlaceReport(
    @CborLabel(1) val members: List<ReportedState>,
    @CborLabel(2) val places: List<PlaceSummary>,
) : Message
