package sycamore.host

import kotlinx.coroutines.flow.Flow
import sycamore.links.Begun
import sycamore.links.Fence
import sycamore.links.Forward
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.links.Part
import sycamore.links.Refused
import sycamore.links.Rejected
import sycamore.links.Rejection
import sycamore.links.Whole
import sycamore.model.HomeId

/** Sends a call to a gate and adds the replies to the stream of its answer. */
internal class CallSender(
    private val journal: Journal,
    private val gates: Gates,
) {
    private val home: HomeId get() = journal.log.home

    /** Sends [job] to [target]. With [attachOnly], the gate only continues a call that it already runs or ran. */
    suspend fun send(
        job: CallJob,
        prepared: PreparedCall,
        target: GateTarget,
        attachOnly: Boolean,
    ): Attempt {
        journal.log.requireNotEnded()
        val forward = forward(job, prepared, target, attachOnly)
        val result = receive(job, gates.forward(target.host, forward))
        if (result is Attempt.Fenced) {
            journal.log.markEnded(result.successor ?: home)
            journal.log.requireNotEnded()
        }
        return result
    }

    /** Adds [replies] to the stream of [job], which runs or ran at a gate, and returns the result. */
    suspend fun receive(
        job: CallJob,
        replies: Flow<Message>,
    ): Attempt {
        val collector = ReplyCollector(job)
        try {
            replies.collect { collector.onReply(it) }
        } catch (e: LinkException) {
            return Attempt.Lost(e.sent)
        }
        return collector.result ?: Attempt.Lost(sent = true)
    }

    private fun forward(
        job: CallJob,
        prepared: PreparedCall,
        target: GateTarget,
        attachOnly: Boolean,
    ): Forward {
        val released = if (job.isChat) job.stream.bytes() else ByteArray(0)
        val answerTokens = (job.heldTokens - prepared.promptTokens).coerceIn(1, maxOf(1, prepared.answerTokens))
        return Forward(
            id = job.call.id,
            fence = Fence(home, journal.log.epoch),
            program = job.program,
            caller = job.call.caller,
            service = job.service.name,
            request = CallPreparation.request(job, prepared, released, answerTokens),
            idempotent = job.isIdempotent,
            promptTokens = prepared.promptTokens,
            released = released.size.toLong(),
            timeLeft = job.timeLeft,
            age = job.accepted.elapsedNow(),
            gate = target.incarnation,
            attachOnly = attachOnly,
            isNew = job.turn == 1 && job.root == job.program,
            root = job.root,
        )
    }

    /** Collects the replies of one attempt. */
    private class ReplyCollector(
        private val job: CallJob,
    ) {
        var result: Attempt? = null
        private var head: Begun? = null
        private var detail = ""

        fun onReply(reply: Message) {
            when (reply) {
                is Begun -> begin(reply)
                is Part -> add(reply)
                is Whole -> result = result ?: complete(reply)
                is Refused -> result = Attempt.Refused(reply.refusal)
                is Rejected -> result = rejected(reply)
                else -> Unit
            }
        }

        private fun begin(reply: Begun) {
            head = reply
            if (!isError()) job.stream.begin(reply.copy(turn = job.turn, program = job.program))
        }

        private fun add(reply: Part) {
            if (isError()) {
                detail = (detail + reply.bytes.decodeToString()).take(MAX_DETAIL_LENGTH)
            } else if (!job.stream.append(reply.offset, reply.bytes)) {
                result = result ?: Attempt.Failed(BAD_GATEWAY, "the answer that had begun cannot be continued")
            }
        }

        private fun complete(reply: Whole): Attempt {
            val code = head?.status ?: reply.answer.status
            return if (isError()) Attempt.Failed(code, "the engine answered $code $detail") else Attempt.Answered(reply)
        }

        private fun rejected(reply: Rejected): Attempt =
            if (reply.reason == Rejection.FENCED) Attempt.Fenced(reply.successor) else Attempt.Rejected(reply.reason)

        private fun isError(): Boolean = job.isChat && head?.status?.let { it !in SUCCESS } == true
    }

    private companion object {
        const val BAD_GATEWAY = 502
        const val MAX_DETAIL_LENGTH = 500
        val SUCCESS = 200..299
    }
}
