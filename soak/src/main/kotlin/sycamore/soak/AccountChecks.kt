package sycamore.soak

import sycamore.platform.Header
import sycamore.platform.SampleDocuments
import sycamore.routing.AccountLimit
import kotlin.time.DurationUnit

/** Checks what upstreams and callers see of client accounts. [limits] names the accounts that have one. */
internal class AccountChecks(
    private val faults: FaultLog,
    private val limits: Map<String, AccountLimit>,
    private val report: (rule: Rule, attempt: Attempt, detail: String) -> Unit,
) {
    /** Checks the [headers] with which [attempt] arrived at an upstream. */
    fun checkHeaders(
        attempt: Attempt,
        headers: List<Header>,
    ) {
        val key = attempt.key ?: return
        val found = SampleDocuments.accounts(headers)
        if (found !=
            listOf(key.account)
        ) {
            report(Rule.KEY, attempt, "expected ${key.account}, an upstream received $found")
        }
        if (SampleDocuments.hasKey(headers, key.value)) report(Rule.KEY, attempt, "an upstream received the key")
    }

    /** Checks that [attempt] may run. */
    fun checkRun(attempt: Attempt) {
        if (attempt.isForeign) report(Rule.HISTORY, attempt, "continues a turn of another account, and runs")
        if (attempt.key?.isKnown == false) report(Rule.KEY, attempt, "runs with a key that no configuration had")
        checkApplied(attempt, isAccepted = true)
    }

    /** Checks that [attempt] may be answered with [status]. */
    fun checkAnswer(
        attempt: Attempt,
        status: Int,
    ) {
        if (status == LIMITED && attempt.key?.account !in limits) report(Rule.LIMIT, attempt, "429 without a limit")
        if (attempt.isForeign && status !in FOREIGN) {
            report(Rule.HISTORY, attempt, "continues a turn of another account, and is answered $status")
        }
        if (status != UNAUTHENTICATED) return
        if (attempt.runs.isNotEmpty()) report(Rule.KEY, attempt, "was answered 401 and ran")
        checkApplied(attempt, isAccepted = false)
    }

    private fun checkApplied(
        attempt: Attempt,
        isAccepted: Boolean,
    ) {
        val late = attempt.key?.lateness(attempt.at, isAccepted) ?: return
        if (!faults.isInTouch(attempt.gateway, attempt.at)) return
        val what = if (isAccepted) "a key that was taken away is accepted" else "a valid key is refused"
        report(Rule.CONFIG, attempt, "$what, $late too late")
    }

    /** Checks that no span contains the sending and the run of more of [attempts] than the limit of their account allows. */
    fun checkLimits(attempts: Collection<Attempt>) {
        for ((account, limit) in limits) {
            val ran = attempts.filter { it.key?.account == account && it.runs.isNotEmpty() }.sortedBy { it.at }
            val (first, count) = ran.indices.map { ran[it] to countFrom(ran, it) }.maxByOrNull { it.second } ?: continue
            val rated =
                limit.requestsPerSecond * SampleDocuments.limitWindow.toDouble(DurationUnit.SECONDS) + limit.burst
            val most = rated * (1 + SampleDocuments.LIMIT_OVERAGE) + SampleDocuments.LIMIT_SLACK
            if (count >
                most
            ) {
                report(Rule.LIMIT, first, "from here on $count of $account in a span, at most $most allowed")
            }
        }
    }

    /** The number of requests in the span that begins as that with [index] in [ran], sorted by time, is sent. */
    private fun countFrom(
        ran: List<Attempt>,
        index: Int,
    ): Int {
        val end = ran[index].at + SampleDocuments.limitWindow
        return ran
            .subList(index, ran.size)
            .asSequence()
            .takeWhile { it.at <= end }
            .count { attempt -> attempt.runs.minOf { it.at } <= end }
    }

    companion object {
        const val UNAUTHENTICATED = 401
        private const val LIMITED = 429

        /** What turns that continue one of another account may get. Other than 404, these promise nothing about that turn. */
        private val FOREIGN = setOf(0, UNAUTHENTICATED, 404, 408, LIMITED, 503, 504)
    }
}
