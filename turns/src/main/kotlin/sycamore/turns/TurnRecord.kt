package sycamore.turns

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import sycamore.routing.AttemptId
import sycamore.routing.ProgramName

/** One entry of a home's log. The state of a program's turns results from applying its records, in any order. */
@Serializable
sealed interface TurnRecord {
    val program: ProgramName
}

/**
 * Record of how a turn ended.
 *
 * @property tokens number of tokens that the turn generated.
 */
@Serializable
sealed interface TurnEnd : TurnRecord {
    val turn: AttemptId
    val tokens: Long
}

/**
 * Record of the start of a turn. The turn may reach its engine from now on.
 *
 * @property previous turn that this one continues; null at the start of a chain.
 * @property input input of the turn, as the caller sent it.
 * @property reserved maximum number of tokens that the turn may generate, reserved from the budget.
 * @property base prompt and output of [previous], if that turn belongs to another home or program; null otherwise.
 * @property isRegistered whether the directory of programs named this home as the program's home when the turn started.
 */
@Serializable
@SerialName("s")
data class TurnStarted(
    @SerialName("p") override val program: ProgramName,
    @SerialName("t") val turn: AttemptId,
    @SerialName("v") val previous: AttemptId?,
    @SerialName("i") val input: ByteArray,
    @SerialName("r") val reserved: Long,
    @SerialName("b") val base: ByteArray? = null,
    @SerialName("g") val isRegistered: Boolean = false,
) : TurnRecord {
    /** Whether the turn contributes nothing to the prompts of later turns but its output. */
    internal val hasNoText: Boolean get() = previous == null && base == null && input.isEmpty()
}

/** Record of a complete answer to a turn. Its caller may continue from it, and the next prompt repeats [output]. */
@Serializable
@SerialName("f")
data class TurnFinished(
    @SerialName("p") override val program: ProgramName,
    @SerialName("t") override val turn: AttemptId,
    @SerialName("o") val output: ByteArray,
    @SerialName("n") override val tokens: Long,
) : TurnEnd

/** Record of a turn that ended without a complete answer, after [tokens] generated tokens. */
@Serializable
@SerialName("b")
data class TurnBroken(
    @SerialName("p") override val program: ProgramName,
    @SerialName("t") override val turn: AttemptId,
    @SerialName("n") override val tokens: Long,
) : TurnEnd

/**
 * Record of turns that were answered completely and whose texts no later turn needs. It replaces the records of their starts and
 * ends.
 *
 * @property turns the turns that ended.
 * @property tokens number of tokens that each of [turns] generated, in the same order.
 * @property isRegistered whether the directory of programs named this home as the program's home when one of them started.
 */
@Serializable
@SerialName("c")
data class TurnsCounted(
    @SerialName("p") override val program: ProgramName,
    @SerialName("t") val turns: List<AttemptId>,
    @SerialName("n") val tokens: List<Long>,
    @SerialName("g") val isRegistered: Boolean = false,
) : TurnRecord

/** Encodes records as CBOR. */
object TurnRecords {
    private val cbor =
        Cbor {
            ignoreUnknownKeys = true
            alwaysUseByteString = true
        }

    private val serializer = TurnRecord.serializer()

    /** The bytes of [record]. */
    fun encode(record: TurnRecord): ByteArray = cbor.encodeToByteArray(serializer, record)

    /** The record in [bytes]; fails with [SerializationException] when they are not a record. */
    fun decode(bytes: ByteArray): TurnRecord = cbor.decodeFromByteArray(serializer, bytes)
}
