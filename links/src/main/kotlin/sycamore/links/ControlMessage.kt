package sycamore.links

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import sycamore.model.ConfigurationDelta
import sycamore.model.Generation
import sycamore.model.Host
import sycamore.model.PlaceName

/** What a daemon is there for. */
@Serializable
enum class Role {
    HOST,
    ENTRY,
}

/**
 * What a daemon last said about itself, as passed on by others.
 *
 * @property startedAt when this incarnation started, in milliseconds since 1970; a later one replaces an earlier.
 * @property beat rises with each new word of this incarnation.
 */
@Serializable
data class Sighting(
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
 * What a place tells others about itself.
 *
 * @property at when it was made, in milliseconds since 1970.
 * @property behind how many daemons there have a lower generation than [generation].
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
 * Daemon to daemon: news of members and places. Answered by the receiver's own news, as another [Gossip].
 *
 * @property isRumour whether it carries only the sender's own word, and wants only the receiver's.
 */
@Serializable
@SerialName("gossip")
data class Gossip(
    @CborLabel(1) val from: Sighting,
    @CborLabel(2) val members: List<Sighting> = emptyList(),
    @CborLabel(3) val places: List<PlaceSummary> = emptyList(),
    @CborLabel(4) val isRumour: Boolean = false,
) : Message

/** What changed after [above]? Answered by [ConfigurationChange], [ConfigurationBytes] or nothing. */
@Serializable
@SerialName("changes?")
data class AskChanges(
    @CborLabel(1) val above: Generation,
) : Message

/** Answers [AskChanges] with what changed; one for each generation, in order. */
@Serializable
@SerialName("change")
data class ConfigurationChange(
    @CborLabel(1) val delta: ConfigurationDelta,
) : Message

/** Answers [AskChanges] with the whole configuration, as compressed JSON. */
@Serializable
@SerialName("bytes")
class ConfigurationBytes(
    @CborLabel(1) val bytes: ByteArray,
) : Message

/** Operator to any daemon: how are its place and all others? Answered by [PlaceReport]. */
@Serializable
@SerialName("place?")
data object AskPlace : Message

/** Answers [AskPlace]: all members of the place, and what is known of the others. */
@Serializable
@SerialName("place")
data class PlaceReport(
    @CborLabel(1) val members: List<Sighting>,
    @CborLabel(2) val places: List<PlaceSummary>,
) : Message
