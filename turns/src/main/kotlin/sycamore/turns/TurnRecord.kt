package sycamore.turns

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import sycamore.routing.AttemptId
import sycamore.routing.ProgramName

/** One entry of a home's log. What is known of a program's turns is the fold of its records, in any order. */
@Serializable
sealed interface TurnRecord {
    val program: ProgramName
}

/** How a turn ended. */
@Serializable
sealed interface TurnEnd : TurnRecord {
    val turn: AttemptId
}

/**
 * A turn may reach its engine from now on.
 *
 * @property previous the turn that it continues; null at the start of a chain.
 * @property input what the caller sent.
 * @property reserved tokens of the budget that the turn may generate at most.
 * @property base prompt of [previous], if that turn lives at another home; null otherwise.
 * @property isRegistered whether the directory of programs named this home when the turn started.
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
) : TurnRecord

/** A turn was answered whole: its caller may continue from it. [output] is what the next prompt repeats of it. */
@Serializable
@SerialName("f")
data class TurnFinished(
    @SerialName("p") override val program: ProgramName,
    @SerialName("t") override val turn: AttemptId,
    @SerialName("o") val output: ByteArray,
    @SerialName("n") val tokens: Long,
) : TurnEnd

/** A turn ended without a whole answer, after [tokens] tokens. */
@Serializable
@SerialName("b")
data class TurnBroken(
    @SerialName("p") override val program: ProgramName,
    @SerialName("t") override val turn: AttemptId,
    @SerialName("n") val tokens: Long,
) : TurnEnd

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

    /** The record in [bytes]; fails with [SerializationException] when they hold none. */
    fun decode(bytes: ByteArray): TurnRecord = cbor.decodeFromByteArray(serializer, bytes)
}
