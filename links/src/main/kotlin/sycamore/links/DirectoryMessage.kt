package sycamore.links

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sycamore.model.CallerName
import sycamore.model.HomeId
import sycamore.routing.AttemptId
import sycamore.routing.ProgramName

/**
 * Request of a home to the owner of [program]'s directory partition: register [home] as the home that serves [program].
 *
 * Answered by [ProgramLocation], which names another home if that one serves the program already, or by [Declined].
 *
 * @property isDeputy whether the receiver shall act in place of the owner, which does not respond.
 */
@Serializable
@SerialName("register")
data class RegisterProgram(
    val program: ProgramName,
    val home: HomeEndpoint,
    val isDeputy: Boolean = false,
) : Message

/**
 * Request of an entry to the owner of [program]'s directory partition for the home that serves [program]. Answered by
 * [ProgramLocation] or [Declined].
 */
@Serializable
@SerialName("locate")
data class LocateProgram(
    val program: ProgramName,
) : Message

/**
 * Reply to [RegisterProgram] and [LocateProgram].
 *
 * @property home the home that serves the program; null if none does.
 * @property isTentative whether another home may turn out to serve the program, since not all homes have reported their
 * programs of its partition yet.
 * @property wasRegistered whether the program had a home before this request to register it.
 */
@Serializable
@SerialName("at")
data class ProgramLocation(
    val home: HomeEndpoint?,
    val isTentative: Boolean = false,
    val wasRegistered: Boolean = false,
) : LastReply

/**
 * Request of the new owner of directory partitions to a home: list your programs of [partitions].
 *
 * Once it has answered, the receiver registers programs of these partitions with [owner]. Answered by [ServedPrograms],
 * or by [Declined] if the receiver knows a newer owner.
 *
 * @property owner the sender, which owns [partitions].
 * @property revision the revision of the key-value service as of which it owns them.
 */
@Serializable
@SerialName("claim")
data class ClaimPartitions(
    val partitions: List<Int>,
    val owner: HomeEndpoint,
    val revision: Long,
) : Message

/**
 * A program that the sender serves.
 *
 * @property tokens the tokens of the program that are spent or reserved at the sender.
 * @property isRegistered whether the sender itself registered the program; if not, the sender took it over from
 * another home, or could not register it yet.
 */
@Serializable
data class ListedProgram(
    val program: ProgramName,
    val tokens: Long,
    val isRegistered: Boolean,
)

/**
 * Reply to [ClaimPartitions].
 *
 * @property home the home of the sender.
 * @property programs the programs of the claimed partitions that [home] serves.
 * @property isComplete whether [home] has all programs of the homes that it takes over.
 */
@Serializable
@SerialName("programs")
data class ServedPrograms(
    val home: HomeId,
    val programs: List<ListedProgram>,
    val isComplete: Boolean,
) : LastReply

/**
 * Notification of a home to the owner of a directory partition: [home] no longer serves [programs], which are of this
 * partition. Answered by [Done].
 */
@Serializable
@SerialName("forget-programs")
data class UnregisterPrograms(
    val home: HomeId,
    val programs: List<ProgramName>,
) : Message

/**
 * Notification of a home to the home that serves [program]: the sender let [turn] spend [tokens] of the program's
 * budget before it knew that the receiver serves the program.
 *
 * Answered by [Done] once the tokens count in the budget.
 */
@Serializable
@SerialName("count")
data class CountTokens(
    val program: ProgramName,
    val turn: AttemptId,
    val tokens: Long,
) : Message

/**
 * Request of an entry to a host: does its home have the complete answer of [turn]? Answered by [TurnFound].
 *
 * @property account the account that [turn] has to belong to; null if it has to belong to none.
 */
@Serializable
@SerialName("find")
data class FindTurn(
    val turn: AttemptId,
    val account: CallerName? = null,
) : Message

/**
 * Reply to [FindTurn].
 *
 * @property home the home of the sender.
 * @property hasTurn whether [home] has the complete answer of the turn.
 * @property isComplete whether [home] has all programs of the homes that it takes over.
 * @property isOfOtherAccount whether [home] has the turn, and it belongs to another account.
 */
@Serializable
@SerialName("found")
data class TurnFound(
    val home: HomeId,
    val hasTurn: Boolean,
    val isComplete: Boolean,
    val isOfOtherAccount: Boolean = false,
) : LastReply
