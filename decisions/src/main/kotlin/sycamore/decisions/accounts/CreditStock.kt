package sycamore.decisions.accounts

import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Credit for one request of [kind], which expires at [expiresAt]. */
data class Credit(
    val kind: RequestKind,
    val expiresAt: Duration,
)

/**
 * The unused credit of one account at a gateway. Times are readings of a clock that also counts while the process or its
 * host is suspended.
 */
class CreditStock {
    private class Batch(
        val expiresAt: Duration,
        var count: Int,
    )

    /** Requests are refused until [until]; one is expected to get credit at [creditAt]. */
    private class Refusal(
        val until: Duration,
        val creditAt: Duration,
    )

    private val batches = RequestKind.entries.associateWith { ArrayDeque<Batch>() }
    private val demand = RequestKind.entries.associateWith { DecayingCount(DEMAND_PERIOD) }
    private val refusals = HashMap<RequestKind, Refusal>()
    private var arrived = RequestCounts.NONE
    private var life = Duration.ZERO

    /** Time of the last request. */
    var usedAt = Duration.ZERO
        private set

    /** Records the arrival of a request of [kind]. */
    fun recordArrival(
        kind: RequestKind,
        now: Duration,
    ) {
        usedAt = now
        demand.getValue(kind).add(1, now)
        if (kind != RequestKind.START) arrived += RequestCounts.of { if (it == kind) 1 else 0 }
    }

    /** Records that a program was started. */
    fun recordStart() {
        arrived += RequestCounts(starts = 1)
    }

    /** Takes credit for a request of [kind]; null if there is none. A continuation may use credit of any kind. */
    fun take(
        kind: RequestKind,
        now: Duration,
    ): Credit? {
        val kinds = if (kind == RequestKind.CONTINUATION) RequestKind.entries else listOf(kind)
        for (source in kinds) {
            val batch = unexpired(source, now).firstOrNull() ?: continue
            if (--batch.count == 0) batches.getValue(source).removeFirst()
            return Credit(source, batch.expiresAt)
        }
        return null
    }

    /** Returns credit whose request did not run. */
    fun giveBack(credit: Credit) {
        val kept = batches.getValue(credit.kind)
        kept += Batch(credit.expiresAt, 1)
        kept.sortBy { it.expiresAt }
    }

    /** Adds credit that was asked for at [askedAt]. */
    fun add(
        granted: RequestCounts,
        askedAt: Duration,
        life: Duration,
    ) {
        this.life = life
        for (kind in RequestKind.entries) {
            if (granted[kind] > 0) batches.getValue(kind) += Batch(askedAt + life, granted[kind])
        }
    }

    /** Records that requests of [kind] are refused for [retryAfter] from [now] on. */
    fun recordRefusal(
        kind: RequestKind,
        retryAfter: Duration,
        now: Duration,
    ) {
        refusals[kind] = Refusal(now + minOf(retryAfter, MAX_REFUSAL), now + retryAfter)
    }

    /** Time until a request of [kind] can get credit, if requests of this kind are refused without asking; else null. */
    fun refusedFor(
        kind: RequestKind,
        now: Duration,
    ): Duration? = refusals[kind]?.takeIf { it.until > now }?.let { it.creditAt - now }

    /** Credit to ask for ahead of need: what recent requests used in the time between two asks, and at least one. */
    fun ahead(now: Duration): RequestCounts =
        RequestCounts.of { kind ->
            val recent = demand.getValue(kind)
            val horizon = minOf(HORIZON, life / 2)
            val wanted = if (recent.value(now) < MIN_DEMAND) 0 else ceil(recent.rate(now) * horizon.seconds).toInt()
            // Credit that expires soon is replaced before.
            val kept = unexpired(kind, now).sumOf { if (it.expiresAt - now > life / 4) it.count else 0 }
            if (kept * 2 > wanted) 0 else wanted - kept
        }

    /** Returns the requests that have arrived since the last call. */
    fun takeArrived(): RequestCounts = arrived.also { arrived = RequestCounts.NONE }

    /** Returns the arrivals of an ask that was not answered. */
    fun restoreArrived(counts: RequestCounts) {
        arrived += counts
    }

    private fun unexpired(
        kind: RequestKind,
        now: Duration,
    ): ArrayDeque<Batch> {
        val kept = batches.getValue(kind)
        kept.removeAll { it.expiresAt <= now }
        return kept
    }

    private companion object {
        val DEMAND_PERIOD = 1.5.seconds

        /** Longer than the interval between two asks. */
        val HORIZON = 500.milliseconds

        /** Less than this remains of one request after about three times the period. */
        const val MIN_DEMAND = 0.05

        /** The longest time for which the refusal of a decider is applied to further requests without asking again. */
        val MAX_REFUSAL = 250.milliseconds
    }
}
