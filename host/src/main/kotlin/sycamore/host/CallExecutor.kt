package sycamore.host

import sycamore.links.Elsewhere
import sycamore.links.EndReservation
import sycamore.links.Message
import sycamore.links.Refused
import sycamore.links.Whole
import sycamore.programs.Answer
import sycamore.programs.CacheHeld
import sycamore.programs.CallAnswered
import sycamore.programs.CallRefused
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import kotlin.time.Duration.Companion.seconds

/** Runs calls and records their results before these are released to the callers. */
internal class CallExecutor(
    private val parts: HomeComponents,
    private val streams: RunningStreams,
) {
    private val journal = parts.journal

    /**
     * Runs [job] with [work] and records its result. The final message is released once the records are durable, so
     * that a home that takes over has them too.
     */
    suspend fun run(
        job: CallJob,
        work: suspend (CallJob) -> CallEnd = parts.runner::run,
    ) {
        try {
            parts.retries.onCall()
            job.stream.end(recordResult(job, work(job)))
        } catch (e: HomeEndedException) {
            job.stream.end(Elsewhere(job.call.id, e.successor))
        } finally {
            streams.remove(job.call.id)
            journal.table.update(job.program) { it.release(job.call.id) }
        }
    }

    private suspend fun recordResult(
        job: CallJob,
        end: CallEnd,
    ): Message =
        when (end) {
            is CallEnd.Answered -> answered(job, end)
            is CallEnd.Refused -> refused(job, end.refusal)
        }

    private suspend fun answered(
        job: CallJob,
        end: CallEnd.Answered,
    ): Message {
        val answer = end.completion.answer
        val body = job.stream.bytes()
        settleBudget(job, unused = job.heldTokens - answer.usage.total, counted = true)
        if (job.isChat) journal.record(CacheHeld(job.program, end.gate, answer.usage.total))
        journal.record(CallAnswered(job.program, job.call.id, limitBody(answer, body)))
        journal.table.update(job.program) { it.release(job.call.id) }
        if (!journal.awaitDurable(job.programs, maxOf(job.timeLeft, MIN_DURABILITY_WAIT))) {
            return Refused(job.call.id, Refusals.notDurableYet(), job.program)
        }
        return Whole(job.call.id, body.size.toLong(), answer.copy(body = ByteArray(0)))
    }

    /** Returns [answer] with [body], or without a body if that does not fit into one value of the key-value service. */
    private fun limitBody(
        answer: Answer,
        body: ByteArray,
    ): Answer = answer.copy(body = if (body.size <= MAX_RECORDED_BODY_BYTES) body else ByteArray(0))

    private suspend fun refused(
        job: CallJob,
        refusal: Refusal,
    ): Message {
        val hasRun = refusal.outcome != Outcome.NOT_RUN
        if (job.mayHoldBudget) settleBudget(job, unused = 0, counted = hasRun)
        if (job.isAccepted) journal.record(CallRefused(job.program, job.call.id, refusal))
        if (refusal.status == TOO_MANY_REQUESTS && refusal.retryAfter == null) endProgram(job)
        journal.table.update(job.program) { it.release(job.call.id) }
        if (hasRun) journal.awaitDurable(job.programs, MIN_DURABILITY_WAIT)
        return Refused(job.call.id, refusal, job.program)
    }

    private fun endProgram(job: CallJob) {
        parts.programTerminator.end(job.program, "budget")
    }

    private fun settleBudget(
        job: CallJob,
        unused: Long,
        counted: Boolean,
    ) = parts.budgets.settle(EndReservation(job.root, job.call.id, unused.coerceAtLeast(0), counted))

    private companion object {
        /** Without a time for a retry, this status means that the budget is spent. */
        const val TOO_MANY_REQUESTS = 429
        const val MAX_RECORDED_BODY_BYTES = 600_000

        /** The least timeout for records to become durable, however soon the caller's deadline is. */
        val MIN_DURABILITY_WAIT = 2.seconds
    }
}
