package sycamore.host

import sycamore.programs.ChatBody
import sycamore.programs.ChatMessage
import sycamore.programs.HistoryCheck
import sycamore.programs.ProgramState
import sycamore.programs.Refusal
import sycamore.programs.Request
import sycamore.programs.TokenEstimate

/** The result of [CallPreparation.prepare]. */
internal sealed interface Preparation {
    /** The call can be sent as [prepared]. */
    class Ready(
        val prepared: PreparedCall,
    ) : Preparation

    /** The request is invalid and the call does not run. */
    class Refused(
        val refusal: Refusal,
    ) : Preparation
}

/** Checks the request of a call and derives the request that is sent to the upstream. */
internal object CallPreparation {
    private const val CHAT_PATH = "/v1/chat/completions"

    /** The limit of a request's size. Its record has to fit into one value of the key-value service. */
    const val MAX_REQUEST_BYTES = 600_000

    /** Checks the request of [job] against its program's [state] and determines the messages and token bounds. */
    fun prepare(
        job: CallJob,
        state: ProgramState,
    ): Preparation {
        if (!job.isChat) return Preparation.Ready(PreparedCall(null, emptyList(), emptyList(), 0, 0))
        val body =
            ChatBody.parse(job.call.request.body)
                ?: return Preparation.Refused(Refusals.badBody("a chat completion's JSON body"))
        val added = addedMessages(job, state, body)
        if (added is AddedMessages.Differs) return Preparation.Refused(Refusals.historyDiffers(added.index))
        return ready(state, body, (added as AddedMessages.Found).messages)
    }

    /**
     * Returns the request to send for [job]. [released] is the part of the answer that the caller has already received,
     * and [answerTokens] the bound of the complete answer.
     */
    fun request(
        job: CallJob,
        prepared: PreparedCall,
        released: ByteArray,
        answerTokens: Long,
    ): Request {
        val body = prepared.body ?: return job.call.request
        val begun = if (released.isEmpty()) emptyList() else listOf(assistant(released))
        val messages = prepared.history + prepared.added + begun
        return Request("POST", CHAT_PATH, body = body.encodeWith(messages, answerTokens))
    }

    private sealed interface AddedMessages {
        class Found(
            val messages: List<ChatMessage>,
        ) : AddedMessages

        class Differs(
            val index: Int,
        ) : AddedMessages
    }

    private fun addedMessages(
        job: CallJob,
        state: ProgramState,
        body: ChatBody,
    ): AddedMessages {
        if (job.call.append) return AddedMessages.Found(body.messages)
        return when (val check = HistoryCheck.compare(state.history, body.messages)) {
            is HistoryCheck.Continues -> AddedMessages.Found(check.added)
            is HistoryCheck.Differs -> AddedMessages.Differs(check.index)
        }
    }

    private fun ready(
        state: ProgramState,
        body: ChatBody,
        added: List<ChatMessage>,
    ): Preparation {
        if (added.isEmpty()) return Preparation.Refused(Refusals.badBody("at least one new message"))
        val size = added.sumOf { it.content.length + (it.toolCalls?.length ?: 0) }
        if (size > MAX_REQUEST_BYTES) return Preparation.Refused(Refusals.tooLarge(MAX_REQUEST_BYTES))
        val other = if (state.contextTokens == 0L) body.nonMessageBytes else 0
        val prompt = TokenEstimate.promptTokens(state.contextTokens, added) + other
        return Preparation.Ready(PreparedCall(body, state.history, added, prompt, body.maxTokens))
    }

    private fun assistant(text: ByteArray) = ChatMessage("assistant", text.decodeToString())
}
