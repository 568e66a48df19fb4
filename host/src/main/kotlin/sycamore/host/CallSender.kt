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
    ): AttemptResult {
        journal.log.requireAlive()
        val forward = forward(job, prepared, target, attachOnly)
        val result = receive(job, gates.forward(target.host, forward))
        if (result is AttemptResult.Fenced) {
            journal.log.end(result.successor ?: home)
            journal.log.requireAlive()
        }
        return result
    }

    /** Adds [replies] to the stream of [job], which runs or ran at a gate, and returns the result. */
    suspend fun receive(
        job: CallJob,
        replies: Flow<Message>,
    ): AttemptResult {
        val collector = ReplyCollector(job)
        try {
            replies.collect { collector.collect(it) }
        } catch (e: LinkException) {
            return AttemptResult.Lost(e.sent)
        }
        return collector.result ?: AttemptResult.Lost(mayHaveArrived = true)
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
        var result: AttemptResult? = null
        private var head: Begun? = null
        private var detail = ""

        fun collect(reply: Message) {
            when (reply) {
                is Begun -> begin(reply)
                is Part -> add(reply)
                is Whole -> result = result ?: complete(reply)
                is Refused -> result = AttemptResult.Refused(reply.refusal)
                is Rejected -> result = rejected(reply)
                else -> Unit
            }
        }

        private fun begin(reply: Begun) {
            head = reply
            if (!isFailure()) job.stream.begin(reply.copy(turn = job.turn, program = job.program))
        }

        private fun add(reply: Part) {
            if (isFailure()) {
                detail = (detail + reply.bytes.decodeToString()).take(MAX_DETAIL_LENGTH)
            } else if (!job.stream.append(reply.offset, reply.bytes)) {
                result = result ?: AttemptResult.Failed(BAD_GATEWAY, "the answer that had begun cannot be continued")
            }
        }

        private fun complete(reply: Whole): AttemptResult {
            val status = head?.status ?: reply.answer.status
            return if (isFailure()) {
                AttemptResult.Failed(
                    status,
                    "the engine answered $status $detail",
                )
            } else {
                AttemptResult.Answered(reply)
            }
        }

        private fun rejected(reply: Rejected): AttemptResult =
            if (reply.reason ==
                Rejection.FENCED
            ) {
                AttemptResult.Fenced(reply.successor)
            } else {
                AttemptResult.Rejected(reply.reason)
            }

        private fun isFailure(): Boolean = job.isChat && head?.status?.let { it !in SUCCESS } == true
    }

    private companion object {
        const val BAD_GATEWAY = 502
        const val MAX_DETAIL_LENGTH = 500
        val SUCCESS = 200..299
    }
}
