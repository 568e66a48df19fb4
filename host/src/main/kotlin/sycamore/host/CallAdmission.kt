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

/** The result of admitting a call at the home of its program. */
internal sealed interface CallAdmission {
    /** The call runs; its answer is streamed from [stream]. */
    class Follow(
        val stream: AnswerStream,
    ) : CallAdmission

    /** The call already ran in [turn] and has a recorded [result]. */
    class Completed(
        val turn: Int,
        val result: CallResult,
    ) : CallAdmission

    /** The call does not run. */
    class Refused(
        val refusal: Refusal,
    ) : CallAdmission
}

/** Converts the recorded result of a completed call into replies. */
internal object ResultReplay {
    /**
     * Returns the replies to [call] of [program] for the result in [completed]. Bytes of the answer that the caller has
     * already received are not sent again.
     */
    fun replies(
        call: Call,
        program: ProgramId,
        completed: CallAdmission.Completed,
    ): List<Message> =
        when (val result = completed.result) {
            is CallResult.Refused -> listOf(Refused(call.id, result.refusal, program))
            CallResult.AnswerDiscarded -> listOf(Refused(call.id, Refusals.answerDiscarded(), program))
            is CallResult.Answered -> answered(call, program, completed.turn, result)
        }

    private fun answered(
        call: Call,
        program: ProgramId,
        turn: Int,
        result: CallResult.Answered,
    ): List<Message> {
        val answer = result.answer
        val prefix = call.releasedBody
        val startsWithPrefix = prefix.size <= answer.body.size && answer.body.copyOf(prefix.size).contentEquals(prefix)
        if (!startsWithPrefix) return listOf(Refused(call.id, Refusals.failed(ANSWER_CHANGED), program))
        val rest = answer.body.copyOfRange(prefix.size, answer.body.size)
        val parts = if (rest.isEmpty()) emptyList() else listOf(Part(call.id, prefix.size.toLong(), rest))
        return listOf(Begun(call.id, program, turn, answer.status, answer.contentType)) +
            parts +
            Whole(call.id, answer.body.size.toLong(), answer.copy(body = ByteArray(0)))
    }

    private const val ANSWER_CHANGED = "the answer that had begun cannot be continued"
}
