package sycamore.gateway

import kotlinx.coroutines.CompletableDeferred
import sycamore.decisions.accounts.CreditStock
import sycamore.decisions.accounts.Quota
import sycamore.decisions.accounts.RequestCounts
import sycamore.decisions.accounts.RequestKind
import sycamore.links.GrantedCredit
import sycamore.links.WantedCredit
import sycamore.model.CallerName
import sycamore.model.Generation
import sycamore.model.HomeId
import kotlin.time.Duration

/** The credit of one account at this gateway, and the requests that wait for some. Not thread-safe. */
internal class AccountStock(
    val name: CallerName,
) {
    /** A request that waits for credit. */
    class Waiting(
        val kind: RequestKind,
        val admission: CompletableDeferred<CreditAdmission> = CompletableDeferred(),
    )

    val credit = CreditStock()
    var quota = Quota(1.0, 0.0)
    var generation = Generation(0)
    val waiting = ArrayList<Waiting>()
    private val refusals = HashMap<RequestKind, CreditAdmission.Refused>()

    /** Whether an ask for this account is in progress. */
    var isAsking = false

    /** Admits or refuses a request of [kind] without asking; null if it has to wait for credit. */
    fun admit(
        kind: RequestKind,
        now: Duration,
    ): CreditAdmission? {
        val taken = credit.take(kind, now)
        if (taken != null) {
            if (kind == RequestKind.START) credit.recordStart()
            return CreditAdmission.Admitted(taken)
        }
        val retryAfter = credit.refusedFor(kind, now) ?: return null
        return refusals.getValue(kind).copy(retryAfter = retryAfter)
    }

    /** What to ask for at [now]; null if nothing is needed. */
    fun wanted(now: Duration): WantedCredit? {
        val ahead = credit.ahead(now)
        if (waiting.isEmpty() && ahead.total == 0) return null
        val counts = RequestCounts.of { kind -> waiting.count { it.kind == kind } }
        return WantedCredit(name, quota.rate, quota.burst, counts, ahead, credit.takeArrived(), generation)
    }

    /**
     * Adds what [home] granted at the ask of [askedAt], and answers the requests that wait. Those that arrived after the ask may have to
     * wait for the next one.
     */
    fun receive(
        granted: GrantedCredit,
        home: HomeId,
        askedAt: Duration,
        now: Duration,
    ) {
        credit.add(granted.granted, askedAt, granted.life)
        granted.retryAfter.forEach { (kind, retryAfter) ->
            credit.recordRefusal(kind, retryAfter, now)
            refusals[kind] = CreditAdmission.Refused(retryAfter, home, granted.generation.value)
        }
        val served =
            waiting.filter { request ->
                val admission = admit(request.kind, now) ?: return@filter false
                // A caller that left in between gives its credit back.
                if (!request.admission.complete(admission)) giveBack(admission)
                true
            }
        waiting -= served.toSet()
    }

    /** Takes back the credit of a request that did not run. */
    fun giveBack(admission: CreditAdmission) {
        if (admission is CreditAdmission.Admitted) credit.giveBack(admission.credit)
    }
}
