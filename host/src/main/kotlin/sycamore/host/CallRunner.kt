package sycamore.host

import kotlinx.coroutines.delay
import sycamore.links.BarCall
import sycamore.links.Rejection
import sycamore.links.Reserve
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.programs.CallAccepted
import sycamore.programs.CallIntended
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs a call that has its turn: holds its budget, records its intent, sends it to a gate and follows the answer. */
internal class CallRunner(
    private val journal: Journal,
    private val budgets: Budgets,
    private val gates: Gates,
    private val retries: RetryBudget,
    private val random: Random,
    private val clock: Clock,
) {
    private val sender = CallSender(journal, gates)

    /** Runs [job] to its end. Fails with [HomeEndedException]. */
    suspend fun run(job: CallJob): CallEnd {
        val state = journal.table.find(job.program) ?: return refused(Refusals.noProgram(job.program))
        return when (val preparation = CallPreparation.prepare(job, state)) {
            is Preparation.Refused -> refused(preparation.refusal)
            is Preparation.Ready -> run(job, preparation.prepared)
        }
    }

    private suspend fun run(
        job: CallJob,
        prepared: Prepared,
    ): CallEnd {
        val intent = job.known?.intents?.lastOrNull()
        val earlier = intent?.let { Target(it.gate, it.gateIncarnation) }
        if (job.isIdempotent) return runRepeatable(job, prepared, earlier)
        return if (earlier == null) runOnce(job, prepared) else resumeOnce(job, prepared, earlier)
    }

    /** Runs a call that may be repeated; [earlier] is where it may be running already. */
    private suspend fun runRepeatable(
        job: CallJob,
        prepared: Prepared,
        earlier: Target?,
    ): CallEnd {
        var last: Sent? = null
        if (earlier != null) {
            val sent = sender.send(job, prepared, earlier, attachOnly = true)
            if (sent is Sent.Answered) return CallEnd.Answered(sent.whole, earlier.host)
            job.mayHaveRun = true
            last = sent
        }
        val tried = HashSet<HostName>()
        for (attempt in 0 until MAX_ATTEMPTS) {
            if (attempt > 0 && !pause(job, attempt)) break
            val target = target(job, tried) ?: continue
            tried += target.host
            prepareAttempt(job, prepared, target)?.let { return refused(it) }
            val sent = deliverRepeatable(job, prepared, target)
            if (sent is Sent.Answered) return CallEnd.Answered(sent.whole, target.host)
            if (isFinal(sent, job)) return refused((sent as? Sent.Refused)?.refusal ?: failure(sent))
            last = sent
        }
        return refused(gaveUp(job, last))
    }

    /** Sends a repeatable call, and asks for it once more when the link is lost. */
    private suspend fun deliverRepeatable(
        job: CallJob,
        prepared: Prepared,
        target: Target,
    ): Sent {
        val first = sender.send(job, prepared, target, attachOnly = false)
        val sent =
            if (first is Sent.Lost && first.sent) sender.send(job, prepared, target, attachOnly = true) else first
        if (mayHaveRun(first) || mayHaveRun(sent)) job.mayHaveRun = true
        if (sent is Sent.Rejected) gates.forget(target.host)
        return sent
    }

    private fun mayHaveRun(sent: Sent): Boolean =
        when (sent) {
            is Sent.Lost -> sent.sent
            is Sent.Rejected -> sent.reason == Rejection.BROKEN || sent.reason == Rejection.PROGRAM_ENDED
            is Sent.Refused -> sent.refusal.outcome != Outcome.NOT_RUN
            else -> true
        }

    private fun isFinal(
        sent: Sent,
        job: CallJob,
    ): Boolean =
        when (sent) {
            is Sent.Refused -> sent.refusal.outcome != Outcome.NOT_RUN || !job.mayHaveRun
            is Sent.Failed -> sent.status in CALLERS_FAULT
            else -> false
        }

    /** Runs a call that may not be repeated and has not left this home or an earlier one. */
    private suspend fun runOnce(
        job: CallJob,
        prepared: Prepared,
    ): CallEnd {
        val tried = HashSet<HostName>()
        for (attempt in 0 until MAX_ATTEMPTS) {
            if (attempt > 0 && !pause(job, attempt)) break
            val target = target(job, tried) ?: continue
            tried += target.host
            prepareAttempt(job, prepared, target)?.let { return refused(it) }
            deliverOnce(job, prepared, target)?.let { return it }
            job.mayHaveRun = false
            gates.forget(target.host)
        }
        return refused(Refusals.later("no gate of ${job.service.name} took the call"))
    }

    /** Goes on with a call that an earlier home may have sent to [target]. */
    private suspend fun resumeOnce(
        job: CallJob,
        prepared: Prepared,
        target: Target,
    ): CallEnd {
        job.mayHaveRun = true
        deliverOnce(job, prepared, target)?.let { return it }
        job.mayHaveRun = false
        return runOnce(job, prepared)
    }

    /** Sends a call to [target] until it is known what became of it; null when it did not run and cannot any more. */
    private suspend fun deliverOnce(
        job: CallJob,
        prepared: Prepared,
        target: Target,
    ): CallEnd? {
        for (attempt in 0 until MAX_RESENDS) {
            if (attempt > 0) delay(backoff(attempt))
            when (val sent = sender.send(job, prepared, target, attachOnly = false)) {
                is Sent.Answered -> return CallEnd.Answered(sent.whole, target.host)
                is Sent.Refused -> return refused(sent.refusal)
                is Sent.Failed -> return refused(Refusals.failed(sent.detail))
                is Sent.Lost -> job.mayHaveRun = job.mayHaveRun || sent.sent
                is Sent.Rejected -> return rejectedOnce(job, target, sent.reason)
                is Sent.Fenced -> Unit
            }
        }
        if (!job.mayHaveRun) return null
        return refused(Refusals.unknown("the gate on ${target.host} cannot be asked whether the call ran"))
    }

    /** A rejected call has surely not run only if no earlier copy of it can still arrive, so that it is barred first. */
    private suspend fun rejectedOnce(
        job: CallJob,
        target: Target,
        reason: Rejection,
    ): CallEnd? {
        if (!job.mayHaveRun || reason == Rejection.BARRED) return null
        if (reason == Rejection.OTHER_INCARNATION || reason == Rejection.TOO_OLD) return gateGone(target)
        return settleOnce(job, target)
    }

    /** Bars a call at [target], or follows it if it ran; null when it is barred. */
    suspend fun settleOnce(
        job: CallJob,
        target: Target,
    ): CallEnd? {
        for (attempt in 0 until MAX_RESENDS) {
            if (attempt > 0) delay(backoff(attempt))
            val replies = gates.bar(target.host, BarCall(job.call.id, target.incarnation))
            when (val sent = sender.receive(job, replies)) {
                is Sent.Answered -> return CallEnd.Answered(sent.whole, target.host)
                is Sent.Refused -> return refused(sent.refusal)
                is Sent.Rejected -> return if (sent.reason == Rejection.BARRED) null else gateGone(target)
                else -> Unit
            }
        }
        return refused(Refusals.unknown("the gate on ${target.host} cannot be asked whether the call ran"))
    }

    private fun gateGone(target: Target): CallEnd =
        refused(Refusals.unknown("the gate on ${target.host} was restarted and cannot tell whether the call ran"))

    private suspend fun target(
        job: CallJob,
        tried: MutableSet<HostName>,
    ): Target? {
        val model = job.call.model
        val host =
            gates.choose(job.service, tried, model) ?: gates.choose(job.service, emptySet(), model) ?: return null
        val incarnation: Incarnation? = gates.incarnation(host)
        if (incarnation == null) tried += host
        return incarnation?.let { Target(host, it) }
    }

    /** Holds the budget and records the intent of an attempt at [target]; returns why that cannot be done. */
    private suspend fun prepareAttempt(
        job: CallJob,
        prepared: Prepared,
        target: Target,
    ): Refusal? {
        hold(job, prepared)?.let { return it }
        if (!job.isAccepted) accept(job, prepared)
        journal.record(intent(job, target))
        if (journal.awaitDurable(job.programs, minOf(SAFE_LIMIT, job.timeLeft))) return null
        return if (job.mayHaveRun) {
            Refusals.unknown("the call cannot be made safe again")
        } else {
            Refusals.later("the call's records cannot be made safe now")
        }
    }

    private suspend fun hold(
        job: CallJob,
        prepared: Prepared,
    ): Refusal? {
        val again = job.mayHaveRun
        if (job.heldTokens > 0 && !again) return null
        val prompt = prepared.promptTokens + if (job.isChat) job.stream.end else 0
        val reserve = Reserve(job.root, job.call.id, prompt, prepared.answerTokens, again)
        job.isHeld = true
        return when (val hold = budgets.reserve(reserve)) {
            is BudgetHold.Granted -> {
                job.heldTokens = hold.tokens
                null
            }
            is BudgetHold.Exhausted -> if (again) Refusals.unknown(spent(hold)) else Refusals.exhausted(hold.limit)
            BudgetHold.Unreachable -> if (again) Refusals.unknown(ROOT_LOST) else Refusals.later(ROOT_LOST)
        }
    }

    private fun spent(hold: BudgetHold.Exhausted) = "the budget of ${hold.limit.text} does not suffice to run it again"

    private fun accept(
        job: CallJob,
        prepared: Prepared,
    ) {
        val call = job.call
        journal.record(
            CallAccepted(
                job.program,
                call.id,
                job.turn,
                call.request.digest,
                prepared.added,
                job.isIdempotent,
                clock.now(),
            ),
        )
        job.isAccepted = true
    }

    private fun intent(
        job: CallJob,
        target: Target,
    ) = CallIntended(job.program, job.call.id, job.service.name, target.host, target.incarnation.value, job.heldTokens)

    /** Waits before another attempt; false when there is no time or no budget of retries left. */
    private suspend fun pause(
        job: CallJob,
        attempt: Int,
    ): Boolean {
        if (!retries.take()) return false
        val wait = backoff(attempt)
        if (wait >= job.timeLeft) return false
        delay(wait)
        return true
    }

    private fun backoff(attempt: Int): Duration {
        val longest = FIRST_BACKOFF * (1 shl attempt)
        return longest * random.nextDouble(LEAST_JITTER, 1.0)
    }

    private fun gaveUp(
        job: CallJob,
        last: Sent?,
    ): Refusal =
        when {
            last is Sent.Failed -> Refusals.failed(last.detail)
            job.mayHaveRun -> Refusals.unknown("the call broke off and could not be run again in time")
            last is Sent.Refused -> last.refusal
            else -> Refusals.later("no gate of ${job.service.name} took the call")
        }

    private fun failure(sent: Sent): Refusal = Refusals.failed((sent as? Sent.Failed)?.detail ?: "the call failed")

    private fun refused(refusal: Refusal) = CallEnd.Refused(refusal)

    private companion object {
        const val MAX_ATTEMPTS = 4
        const val MAX_RESENDS = 4
        const val LEAST_JITTER = 0.5
        const val ROOT_LOST = "the home of the root program cannot be reached"
        val CALLERS_FAULT = 400..428
        val FIRST_BACKOFF = 100.milliseconds
        val SAFE_LIMIT = 2.seconds
    }
}
