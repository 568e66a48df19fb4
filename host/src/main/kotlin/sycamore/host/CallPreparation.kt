package sycamore.host

import sycamore.programs.ChatBody
import sycamore.programs.ChatMessage
import sycamore.programs.HistoryCheck
import sycamore.programs.ProgramState
import sycamore.programs.Refusal
import sycamore.programs.Request
import sycamore.programs.TokenEstimate

/** What looking at a call's request gave. */
internal sealed interface Preparation {
    /** It can be sent. */
    class Ready(
        val prepared: Prepared,
    ) : Preparation

    /** It cannot. */
    class Refused(
        val refusal: Refusal,
    ) : Preparation
}

/** Works out what a call sends to its upstream. */
internal object CallPreparation {
    private const val CHAT_PATH = "/v1/chat/completions"

    /** Largest request in bytes. Its record has to fit into one value of the key-value service. */
    const val MAX_REQUEST_BYTES = 600_000

    /** Prepares [job] of a program in [state]. */
    fun prepare(
        job: CallJob,
        state: ProgramState,
    ): Preparation {
        if (!job.isChat) return Preparation.Ready(Prepared(null, emptyList(), emptyList(), 0, 0))
        val body =
            ChatBody.parse(job.call.request.body)
                ?: return Preparation.Refused(Refusals.badBody("a chat completion's JSON body"))
        val added = added(job, state, body)
        if (added is Added.Differs) return Preparation.Refused(Refusals.historyDiffers(added.index))
        return ready(state, body, (added as Added.Messages).messages)
    }

    /** The request that [job] sends when [released] is there of the answer, which may take [answerTokens] in all. */
    fun request(
        job: CallJob,
        prepared: Prepared,
        released: ByteArray,
        answerTokens: Long,
    ): Request {
        val body = prepared.body ?: return job.call.request
        val begun = if (released.isEmpty()) emptyList() else listOf(assistant(released))
        val messages = prepared.history + prepared.added + begun
        return Request("POST", CHAT_PATH, body = body.encodeWith(messages, answerTokens))
    }

    private sealed interface Added {
        class Messages(
            val messages: List<ChatMessage>,
        ) : Added

        class Differs(
            val index: Int,
        ) : Added
    }

    private fun added(
        job: CallJob,
        state: ProgramState,
        body: ChatBody,
    ): Added {
        if (job.call.append) return Added.Messages(body.messages)
        return when (val check = HistoryCheck.compare(state.history, body.messages)) {
            is HistoryCheck.Continues -> Added.Messages(check.added)
            is HistoryCheck.Differs -> Added.Differs(check.index)
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
        return Preparation.Ready(Prepared(body, state.history, added, prompt, body.maxTokens))
    }

    private fun assistant(text: ByteArray) = ChatMessage("assistant", text.decodeToString())
}
