package sycamore.host

import sycamore.links.Elsewhere
import sycamore.links.Message
import sycamore.links.Refused
import sycamore.links.Settle
import sycamore.links.Whole
import sycamore.programs.Answer
import sycamore.programs.CacheHeld
import sycamore.programs.CallAnswered
import sycamore.programs.CallRefused
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import kotlin.time.Duration.Companion.seconds

/** Runs calls and records how they end, before their callers learn it. */
internal class CallRuns(
    private val parts: HomeComponents,
    private val streams: RunningStreams,
) {
    private val journal = parts.journal

    /** Runs [job] by [work], records its end, and releases the last message once no successor can miss it. */
    suspend fun run(
        job: CallJob,
        work: suspend (CallJob) -> CallEnd = parts.runner::run,
    ) {
        try {
            parts.retries.earn()
            job.stream.end(conclude(job, work(job)))
        } catch (e: HomeEndedException) {
            job.stream.end(Elsewhere(job.call.id, e.successor))
        } finally {
            streams.remove(job.call.id)
            journal.table.update(job.program) { it.release(job.call.id) }
        }
    }

    private suspend fun conclude(
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
        val answer = end.whole.answer
        val body = job.stream.bytes()
        settle(job, unused = job.heldTokens - answer.usage.total, counted = true)
        if (job.isChat) journal.record(CacheHeld(job.program, end.gate, answer.usage.total))
        journal.record(CallAnswered(job.program, job.call.id, kept(answer, body)))
        journal.table.update(job.program) { it.release(job.call.id) }
        if (!journal.awaitDurable(job.programs, maxOf(job.timeLeft, LEAST_WAIT))) {
            return Refused(job.call.id, Refusals.notSafeYet(), job.program)
        }
        return Whole(job.call.id, body.size.toLong(), answer.copy(body = ByteArray(0)))
    }

    /** Bodies that do not fit into one value of the key-value service are not kept. */
    private fun kept(
        answer: Answer,
        body: ByteArray,
    ): Answer = answer.copy(body = if (body.size <= MAX_KEPT_BYTES) body else ByteArray(0))

    private suspend fun refused(
        job: CallJob,
        refusal: Refusal,
    ): Message {
        val hasRun = refusal.outcome != Outcome.NOT_RUN
        if (job.isHeld) settle(job, unused = 0, counted = hasRun)
        if (job.isAccepted) journal.record(CallRefused(job.program, job.call.id, refusal))
        if (refusal.status == BUDGET_SPENT && refusal.retryAfter == null) endSpent(job)
        journal.table.update(job.program) { it.release(job.call.id) }
        if (hasRun) journal.awaitDurable(job.programs, LEAST_WAIT)
        return Refused(job.call.id, refusal, job.program)
    }

    private fun endSpent(job: CallJob) {
        parts.programTerminator.end(job.program, "budget")
    }

    private fun settle(
        job: CallJob,
        unused: Long,
        counted: Boolean,
    ) = parts.budgets.settle(Settle(job.root, job.call.id, unused.coerceAtLeast(0), counted))

    private companion object {
        const val BUDGET_SPENT = 429
        const val MAX_KEPT_BYTES = 600_000
        val LEAST_WAIT = 2.seconds
    }
}
