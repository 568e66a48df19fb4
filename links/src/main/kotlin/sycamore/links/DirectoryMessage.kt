package sycamore.links

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sycamore.model.HomeId
import sycamore.routing.AttemptId
import sycamore.routing.ProgramName

/**
 * Home to the owner of [program]'s directory partition: [program] shall live at [home].
 *
 * Answered by [ProgramAt], which names another home if the program lives there already, or by [Declined].
 *
 * @property isDeputy whether the receiver is asked in place of the owner, which does not answer.
 */
@Serializable
@SerialName("register")
data class RegisterProgram(
    val program: ProgramName,
    val home: HomeAt,
    val isDeputy: Boolean = false,
) : Message

/** Entry to the owner of [program]'s directory partition: where does it live? Answered by [ProgramAt] or [Declined]. */
@Serializable
@SerialName("locate")
data class LocateProgram(
    val program: ProgramName,
) : Message

/**
 * Answers [RegisterProgram] and [LocateProgram]: the program lives at [home], or nowhere if that is null.
 *
 * @property isTentative whether the program may turn out to live elsewhere, since not all homes were heard of its partition.
 */
@Serializable
@SerialName("at")
data class ProgramAt(
    val home: HomeAt?,
    val isTentative: Boolean = false,
) : LastReply

/**
 * New owner to home: [owner] keeps the directory of [partitions], as of [revision] of the key-value service.
 *
 * From its answer on, the receiver registers programs of these partitions with [owner]. Answered by [ProgramsHere], or by
 * [Declined] if the receiver knows a newer owner.
 */
@Serializable
@SerialName("claim")
data class ClaimPartitions(
    val partitions: List<Int>,
    val owner: HomeAt,
    val revision: Long,
) : Message

/**
 * A program that lives at the sender.
 *
 * @property tokens of the program that are spent or reserved there.
 * @property isRegistered whether the sender itself registered it; else it adopted the program, or could not register it yet.
 */
@Serializable
data class ListedProgram(
    val program: ProgramName,
    val tokens: Long,
    val isRegistered: Boolean,
)

/**
 * Answers [ClaimPartitions].
 *
 * @property isComplete whether [home] has all programs of the homes that it takes over.
 */
@Serializable
@SerialName("programs")
data class ProgramsHere(
    val home: HomeId,
    val programs: List<ListedProgram>,
    val isComplete: Boolean,
) : LastReply

/** Home to the owner of a directory partition: [programs] of this partition do not live at [home] any more. Answered by [Done]. */
@Serializable
@SerialName("forget-programs")
data class ForgetPrograms(
    val home: HomeId,
    val programs: List<ProgramName>,
) : Message

/**
 * Home to the home of [program]: the sender handed out [tokens] of it in [turn] before it knew that the program lives there.
 *
 * Answered by [Done] once they count in the budget.
 */
@Serializable
@SerialName("count")
data class CountTokens(
    val program: ProgramName,
    val turn: AttemptId,
    val tokens: Long,
) : Message

/** Entry to host: was [turn] answered whole there? Answered by [TurnFound]. */
@Serializable
@SerialName("find")
data class FindTurn(
    val turn: AttemptId,
) : Message

/**
 * Answers [FindTurn].
 *
 * @property home of the daemon.
 * @property isComplete whether it has all programs of the homes that it takes over.
 */
@Serializable
@SerialName("found")
data class TurnFound(
    val home: HomeId,
    val hasTurn: Boolean,
    val isComplete: Boolean,
) : LastReply
