package sycamore.host

import kotlinx.coroutines.delay
import sycamore.links.BarCall
import sycamore.links.Rejection
import sycamore.links.ReserveTokens
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

/** Runs an admitted call: reserves its budget, records its intent, sends it to a gate and receives the answer. */
internal class CallRunner(
    private val journal: Journal,
    private val budgets: Budgets,
    private val gates: Gates,
    private val retries: RetryBudget,
    private val random: Random,
    private val clock: Clock,
) {
    private val sender = CallSender(journal, gates)

    /** Runs [job] to its end. Throws [HomeEndedException] if the home is taken over meanwhile. */
    suspend fun run(job: CallJob): CallEnd {
        val state = journal.table.find(job.program) ?: return refused(Refusals.programNotFound(job.program))
        return when (val preparation = CallPreparation.prepare(job, state)) {
            is Preparation.Refused -> refused(preparation.refusal)
            is Preparation.Ready -> run(job, preparation.prepared)
        }
    }

    private suspend fun run(
        job: CallJob,
        prepared: PreparedCall,
    ): CallEnd {
        val intent = job.priorState?.intents?.lastOrNull()
        val earlier = intent?.let { GateTarget(it.gate, it.gateIncarnation) }
        if (job.isIdempotent) return runRepeatable(job, prepared, earlier)
        return if (earlier == null) runOnce(job, prepared) else resumeOnce(job, prepared, earlier)
    }

    /** Runs a call that may be repeated; [earlier] is the gate at which it may be running already. */
    private suspend fun runRepeatable(
        job: CallJob,
        prepared: PreparedCall,
        earlier: GateTarget?,
    ): CallEnd {
        var last: Attempt? = null
        if (earlier != null) {
            val result = sender.send(job, prepared, earlier, attachOnly = true)
            if (result is Attempt.Answered) return CallEnd.Answered(result.completion, earlier.host)
            job.mayHaveRun = true
            last = result
        }
        val tried = HashSet<HostName>()
        for (attempt in 0 until MAX_ATTEMPTS) {
            if (attempt > 0 && !awaitRetry(job, attempt)) break
            val target = chooseTarget(job, tried) ?: continue
            tried += target.host
            prepareAttempt(job, prepared, target)?.let { return refused(it) }
            val result = deliverRepeatable(job, prepared, target)
            if (result is Attempt.Answered) return CallEnd.Answered(result.completion, target.host)
            if (isFinal(result, job)) return refused((result as? Attempt.Refused)?.refusal ?: failure(result))
            last = result
        }
        return refused(refusalAfterLastAttempt(job, last))
    }

    /** Sends a repeatable call, and attaches to its run once more if the link fails. */
    private suspend fun deliverRepeatable(
        job: CallJob,
        prepared: PreparedCall,
        target: GateTarget,
    ): Attempt {
        val first = sender.send(job, prepared, target, attachOnly = false)
        val result =
            if (first is Attempt.Lost && first.sent) sender.send(job, prepared, target, attachOnly = true) else first
        if (mayHaveRun(first) || mayHaveRun(result)) job.mayHaveRun = true
        if (result is Attempt.Rejected) gates.forgetIncarnation(target.host)
        return result
    }

    private fun mayHaveRun(result: Attempt): Boolean =
        when (result) {
            is Attempt.Lost -> result.sent
            is Attempt.Rejected -> result.reason == Rejection.BROKEN || result.reason == Rejection.PROGRAM_ENDED
            is Attempt.Refused -> result.refusal.outcome != Outcome.NOT_RUN
            else -> true
        }

    private fun isFinal(
        result: Attempt,
        job: CallJob,
    ): Boolean =
        when (result) {
            is Attempt.Refused -> result.refusal.outcome != Outcome.NOT_RUN || !job.mayHaveRun
            is Attempt.Failed -> result.status in CLIENT_ERROR_STATUSES
            else -> false
        }

    /** Runs a call that may not be repeated and that neither this home nor an earlier one has sent to a gate. */
    private suspend fun runOnce(
        job: CallJob,
        prepared: PreparedCall,
    ): CallEnd {
        val tried = HashSet<HostName>()
        for (attempt in 0 until MAX_ATTEMPTS) {
            if (attempt > 0 && !awaitRetry(job, attempt)) break
            val target = chooseTarget(job, tried) ?: continue
            tried += target.host
            prepareAttempt(job, prepared, target)?.let { return refused(it) }
            deliverOnce(job, prepared, target)?.let { return it }
            job.mayHaveRun = false
            gates.forgetIncarnation(target.host)
        }
        return refused(Refusals.unavailable("no gate of ${job.service.name} took the call"))
    }

    /** Resumes a call that may not be repeated and that an earlier home may have sent to [target]. */
    private suspend fun resumeOnce(
        job: CallJob,
        prepared: PreparedCall,
        target: GateTarget,
    ): CallEnd {
        job.mayHaveRun = true
        deliverOnce(job, prepared, target)?.let { return it }
        job.mayHaveRun = false
        return runOnce(job, prepared)
    }

    /** Sends a call to [target] until its outcome is known. Returns null if it did not run there and never will. */
    private suspend fun deliverOnce(
        job: CallJob,
        prepared: PreparedCall,
        target: GateTarget,
    ): CallEnd? {
        for (attempt in 0 until MAX_RESENDS) {
            if (attempt > 0) delay(backoff(attempt))
            when (val result = sender.send(job, prepared, target, attachOnly = false)) {
                is Attempt.Answered -> return CallEnd.Answered(result.completion, target.host)
                is Attempt.Refused -> return refused(result.refusal)
                is Attempt.Failed -> return refused(Refusals.failed(result.detail))
                is Attempt.Lost -> job.mayHaveRun = job.mayHaveRun || result.sent
                is Attempt.Rejected -> return rejectedOnce(job, target, result.reason)
                is Attempt.Fenced -> Unit
            }
        }
        if (!job.mayHaveRun) return null
        return refused(Refusals.outcomeUnknown("the gate on ${target.host} cannot be asked whether the call ran"))
    }

    /**
     * Handles the rejection of a call that may not be repeated. An earlier copy of it may still arrive at the gate, so
     * the call is barred there before it counts as not run.
     */
    private suspend fun rejectedOnce(
        job: CallJob,
        target: GateTarget,
        reason: Rejection,
    ): CallEnd? {
        if (!job.mayHaveRun || reason == Rejection.BARRED) return null
        if (reason == Rejection.OTHER_INCARNATION || reason == Rejection.TOO_OLD) return outcomeLost(target)
        return barOrFollow(job, target)
    }

    /** Bars a call at [target], or receives its answer if it ran. Returns null if it was barred. */
    suspend fun barOrFollow(
        job: CallJob,
        target: GateTarget,
    ): CallEnd? {
        for (attempt in 0 until MAX_RESENDS) {
            if (attempt > 0) delay(backoff(attempt))
            val replies = gates.bar(target.host, BarCall(job.call.id, target.incarnation))
            when (val result = sender.receive(job, replies)) {
                is Attempt.Answered -> return CallEnd.Answered(result.completion, target.host)
                is Attempt.Refused -> return refused(result.refusal)
                is Attempt.Rejected -> return if (result.reason == Rejection.BARRED) null else outcomeLost(target)
                else -> Unit
            }
        }
        return refused(Refusals.outcomeUnknown("the gate on ${target.host} cannot be asked whether the call ran"))
    }

    private fun outcomeLost(target: GateTarget): CallEnd =
        refused(
            Refusals.outcomeUnknown("the gate on ${target.host} was restarted and cannot tell whether the call ran"),
        )

    private suspend fun chooseTarget(
        job: CallJob,
        tried: MutableSet<HostName>,
    ): GateTarget? {
        val model = job.call.model
        val host =
            gates.choose(job.service, tried, model) ?: gates.choose(job.service, emptySet(), model) ?: return null
        val incarnation: Incarnation? = gates.incarnation(host)
        if (incarnation == null) tried += host
        return incarnation?.let { GateTarget(host, it) }
    }

    /** Reserves the budget and records the intent of an attempt at [target]. Returns a refusal if that fails. */
    private suspend fun prepareAttempt(
        job: CallJob,
        prepared: PreparedCall,
        target: GateTarget,
    ): Refusal? {
        reserveBudget(job, prepared)?.let { return it }
        if (!job.isAccepted) accept(job, prepared)
        journal.record(intent(job, target))
        if (journal.awaitDurable(job.programs, minOf(DURABILITY_TIMEOUT, job.timeLeft))) return null
        return if (job.mayHaveRun) {
            Refusals.outcomeUnknown("an attempt to run the call again cannot be recorded now")
        } else {
            Refusals.unavailable("the call's records cannot be made durable now")
        }
    }

    private suspend fun reserveBudget(
        job: CallJob,
        prepared: PreparedCall,
    ): Refusal? {
        val again = job.mayHaveRun
        if (job.heldTokens > 0 && !again) return null
        val prompt = prepared.promptTokens + if (job.isChat) job.stream.endOffset else 0
        val reserve = ReserveTokens(job.root, job.call.id, prompt, prepared.answerTokens, again)
        job.mayHoldBudget = true
        return when (val hold = budgets.reserve(reserve)) {
            is BudgetHold.Granted -> {
                job.heldTokens = hold.tokens
                null
            }
            is BudgetHold.Exhausted ->
                if (again) Refusals.outcomeUnknown(insufficientBudget(hold)) else Refusals.budgetExhausted(hold.limit)
            BudgetHold.Unreachable ->
                if (again) Refusals.outcomeUnknown(ROOT_UNREACHABLE) else Refusals.unavailable(ROOT_UNREACHABLE)
        }
    }

    private fun insufficientBudget(hold: BudgetHold.Exhausted) =
        "the budget of ${hold.limit.text} does not suffice to run it again"

    private fun accept(
        job: CallJob,
        prepared: PreparedCall,
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
        target: GateTarget,
    ) = CallIntended(job.program, job.call.id, job.service.name, target.host, target.incarnation.value, job.heldTokens)

    /** Waits before another attempt. Returns false if the deadline or the retry budget does not allow one. */
    private suspend fun awaitRetry(
        job: CallJob,
        attempt: Int,
    ): Boolean {
        if (!retries.tryAcquire()) return false
        val wait = backoff(attempt)
        if (wait >= job.timeLeft) return false
        delay(wait)
        return true
    }

    private fun backoff(attempt: Int): Duration {
        val maxBackoff = INITIAL_BACKOFF * (1 shl attempt)
        return maxBackoff * random.nextDouble(MIN_BACKOFF_SHARE, 1.0)
    }

    private fun refusalAfterLastAttempt(
        job: CallJob,
        last: Attempt?,
    ): Refusal =
        when {
            last is Attempt.Failed -> Refusals.failed(last.detail)
            job.mayHaveRun -> Refusals.outcomeUnknown("the call broke off and could not be run again in time")
            last is Attempt.Refused -> last.refusal
            else -> Refusals.unavailable("no gate of ${job.service.name} took the call")
        }

    private fun failure(result: Attempt): Refusal =
        Refusals.failed((result as? Attempt.Failed)?.detail ?: "the call failed")

    private fun refused(refusal: Refusal) = CallEnd.Refused(refusal)

    private companion object {
        const val MAX_ATTEMPTS = 4
        const val MAX_RESENDS = 4
        const val MIN_BACKOFF_SHARE = 0.5
        const val ROOT_UNREACHABLE = "the home of the root program cannot be reached"

        /** Error statuses that a repeated request would get again. A call that fails with another one is retried. */
        val CLIENT_ERROR_STATUSES = 400..428
        val INITIAL_BACKOFF = 100.milliseconds

        /** The time that the records of an attempt may take to become durable. */
        val DURABILITY_TIMEOUT = 2.seconds
    }
}
