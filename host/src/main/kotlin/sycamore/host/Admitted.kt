package sycamore.host

import sycamore.links.Begun
import sycamore.links.Call
import sycamore.links.Message
import sycamore.links.Part
import sycamore.links.Refused
import sycamore.links.Whole
import sycamore.model.ProgramId
import sycamore.programs.CallResult
import sycamore.programs.Refusal

/** What a call gets from its home. */
internal sealed interface Admitted {
    /** The answer as it comes. */
    class Follow(
        val stream: AnswerStream,
    ) : Admitted

    /** What an earlier run of the same call gave. */
    class Kept(
        val turn: Int,
        val result: CallResult,
    ) : Admitted

    /** It does not run. */
    class Refused(
        val refusal: Refusal,
    ) : Admitted
}

/** Renders a kept result as replies. */
internal object KeptAnswer {
    /** The replies to [call] of [program] that bring what [kept] holds, after the bytes that it has already. */
    fun replies(
        call: Call,
        program: ProgramId,
        kept: Admitted.Kept,
    ): List<Message> =
        when (val result = kept.result) {
            is CallResult.Refused -> listOf(Refused(call.id, result.refusal, program))
            CallResult.AnswerDiscarded -> listOf(Refused(call.id, Refusals.forgotten(), program))
            is CallResult.Answered -> answered(call, program, kept.turn, result)
        }

    private fun answered(
        call: Call,
        program: ProgramId,
        turn: Int,
        result: CallResult.Answered,
    ): List<Message> {
        val answer = result.answer
        val prefix = call.releasedBody
        val isSame = prefix.size <= answer.body.size && answer.body.copyOf(prefix.size).contentEquals(prefix)
        if (!isSame) return listOf(Refused(call.id, Refusals.failed(CHANGED), program))
        val rest = answer.body.copyOfRange(prefix.size, answer.body.size)
        val parts = if (rest.isEmpty()) emptyList() else listOf(Part(call.id, prefix.size.toLong(), rest))
        return listOf(Begun(call.id, program, turn, answer.status, answer.contentType)) +
            parts +
            Whole(call.id, answer.body.size.toLong(), answer.copy(body = ByteArray(0)))
    }

    private const val CHANGED = "the answer that had begun cannot be continued"
}
