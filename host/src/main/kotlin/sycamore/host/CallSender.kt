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

/** Sends a call to a gate and takes in its answer. */
internal class CallSender(
    private val journal: Journal,
    private val gates: Gates,
) {
    private val home: HomeId get() = journal.log.home

    /** Sends [job] to [target], to go on only if [attachOnly]. */
    suspend fun send(
        job: CallJob,
        prepared: Prepared,
        target: Target,
        attachOnly: Boolean,
    ): Sent {
        journal.log.requireNotEnded()
        val forward = forward(job, prepared, target, attachOnly)
        val sent = receive(job, gates.forward(target.host, forward))
        if (sent is Sent.Fenced) {
            journal.log.markEnded(sent.successor ?: home)
            journal.log.requireNotEnded()
        }
        return sent
    }

    /** Takes in [replies] to a call that was sent, or is followed. */
    suspend fun receive(
        job: CallJob,
        replies: Flow<Message>,
    ): Sent {
        val answer = Reception(job)
        try {
            replies.collect { answer.take(it) }
        } catch (e: LinkException) {
            return Sent.Lost(e.sent)
        }
        return answer.result ?: Sent.Lost(sent = true)
    }

    private fun forward(
        job: CallJob,
        prepared: Prepared,
        target: Target,
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
    private class Reception(
        private val job: CallJob,
    ) {
        var result: Sent? = null
        private var head: Begun? = null
        private var detail = ""

        fun take(reply: Message) {
            when (reply) {
                is Begun -> begin(reply)
                is Part -> add(reply)
                is Whole -> result = result ?: whole(reply)
                is Refused -> result = Sent.Refused(reply.refusal)
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
                detail = (detail + reply.bytes.decodeToString()).take(MAX_DETAIL)
            } else if (!job.stream.append(reply.offset, reply.bytes)) {
                result = result ?: Sent.Failed(BAD_GATEWAY, "the answer that had begun cannot be continued")
            }
        }

        private fun whole(reply: Whole): Sent {
            val status = head?.status ?: reply.answer.status
            return if (isFailure()) Sent.Failed(status, "the engine answered $status $detail") else Sent.Answered(reply)
        }

        private fun rejected(reply: Rejected): Sent =
            if (reply.reason == Rejection.FENCED) Sent.Fenced(reply.successor) else Sent.Rejected(reply.reason)

        private fun isFailure(): Boolean = job.isChat && head?.status?.let { it !in SUCCESS } == true
    }

    private companion object {
        const val BAD_GATEWAY = 502
        const val MAX_DETAIL = 500
        val SUCCESS = 200..299
    }
}
