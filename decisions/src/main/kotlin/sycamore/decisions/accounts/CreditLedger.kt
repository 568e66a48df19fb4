package sycamore.decisions.accounts

import kotlinx.collections.immutable.toImmutableMap
import sycamore.model.CallerName
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The credit of the accounts of one partition, kept by their decider.
 *
 * Every bucket is empty at [heldSince], when the decider began to grant, since another one may have granted a full bucket before.
 */
class CreditLedger(
    private val bounds: QuotaBounds,
    private val heldSince: Duration,
) {
    private inner class Account(
        var quota: Quota,
        var generation: Long,
    ) {
        var terms = bounds.terms(quota)
        val bucket = TokenBucket(terms.rate, terms.capacity, heldSince)
        val starts = StartBudget(terms, heldSince)
        val continuations = DecayingCount(DEMAND_PERIOD)
        val refusals = RequestKind.entries.associateWith { DecayingCount(DEMAND_PERIOD) }
        var askedAt = heldSince

        fun adopt(
            quota: Quota,
            generation: Long,
            now: Duration,
        ) {
            if (generation < this.generation) return
            this.generation = generation
            if (quota == this.quota) return
            this.quota = quota
            terms = bounds.terms(quota)
            bucket.change(terms.rate, terms.capacity, now)
        }

        /** Credit that only continuations get, as much as they need until the next asks of the gateways. */
        fun reserve(now: Duration): Double =
            minOf(terms.capacity / 2, continuations.rate(now) * RESERVE_TIME.seconds, terms.capacity - 1)
                .coerceAtLeast(0.0)

        /** Level of the bucket down to which programs are started. A lower one shows that those under way need more than expected. */
        val startReserve: Double get() = minOf(terms.capacity * START_RESERVE, terms.capacity - 1)

        /** Number of programs that may be started at [now]. */
        fun startable(now: Duration): Int =
            minOf(starts.available(now), (bucket.level(now) - startReserve).toInt()).coerceAtLeast(0)
    }

    private val accounts = HashMap<CallerName, Account>()

    /** Number of accounts that are kept. */
    val size: Int get() = accounts.size

    /** Grants credit to [name] at [now]. The [quota] of the highest [generation] applies, whichever gateway asks. */
    fun grant(
        name: CallerName,
        quota: Quota,
        generation: Long,
        wish: CreditWish,
        now: Duration,
    ): CreditGrant {
        val account = accounts.getOrPut(name) { Account(quota, generation) }
        account.adopt(quota, generation, now)
        account.askedAt = now
        account.starts.observe(wish.arrived, account.terms, now)
        account.continuations.add(wish.arrived.continuations, now)
        val urgent = grantWaiting(account, wish.waiting, now)
        val ahead = if (urgent == wish.waiting) grantAhead(account, wish.ahead, now) else RequestCounts.NONE
        val refused = RequestKind.entries.filter { urgent[it] < wish.waiting[it] }
        val retryAfter = refused.associateWith { retryAfter(account, it, now) }
        refused.forEach { account.refusals.getValue(it).add(wish.waiting[it] - urgent[it], now) }
        return CreditGrant(urgent + ahead, account.terms.life, retryAfter.toImmutableMap(), account.generation)
    }

    private fun grantWaiting(
        account: Account,
        waiting: RequestCounts,
        now: Duration,
    ): RequestCounts {
        val continuations = account.bucket.take(waiting.continuations, now)
        val reserve = account.reserve(now)
        // A short bucket is divided between the other kinds in proportion.
        val startable = minOf(waiting.starts, account.startable(now))
        val others = account.bucket.take(waiting.ordinary + startable, now, reserve)
        val ordinary = if (startable == 0) others else shareOf(others, waiting.ordinary, startable)
        val starts = others - ordinary
        account.starts.spend(starts, now)
        return RequestCounts(continuations, ordinary, starts)
    }

    private fun shareOf(
        total: Int,
        part: Int,
        rest: Int,
    ): Int = ceil(total.toDouble() * part / (part + rest)).toInt()

    /** Grants credit in advance out of the upper half of the bucket, so that it does not run short because of credit that expires. */
    private fun grantAhead(
        account: Account,
        ahead: RequestCounts,
        now: Duration,
    ): RequestCounts {
        val reserve = account.terms.capacity / 2
        val continuations = account.bucket.take(ahead.continuations, now, reserve)
        val ordinary = account.bucket.take(ahead.ordinary, now, reserve)
        val starts = account.bucket.take(minOf(ahead.starts, account.starts.available(now)), now, reserve)
        account.starts.spend(starts, now)
        return RequestCounts(continuations, ordinary, starts)
    }

    private fun retryAfter(
        account: Account,
        kind: RequestKind,
        now: Duration,
    ): Duration {
        val reserve =
            when (kind) {
                RequestKind.CONTINUATION -> 0.0
                RequestKind.ORDINARY -> account.reserve(now)
                RequestKind.START -> maxOf(account.reserve(now), account.startReserve)
            }
        // Those refused before come back as well. Starts are too many for that, and their budget limits them.
        val others = if (kind == RequestKind.START) 0.0 else account.refusals.getValue(kind).value(now)
        val wait = account.bucket.timeUntil(1 + reserve, now) + (others / account.terms.rate).seconds
        val starts = if (kind == RequestKind.START) account.starts.timeUntilStart(now) else Duration.ZERO
        return maxOf(wait, starts, MIN_RETRY_AFTER)
    }

    /** Drops the accounts that have been idle until their buckets were full, which new ones would be as well. */
    fun evictIdle(now: Duration) {
        accounts.values.removeIf {
            val isFull = it.bucket.level(now) >= it.terms.capacity
            isFull && now - it.askedAt > IDLE_RETENTION
        }
    }

    private companion object {
        val DEMAND_PERIOD = 1.seconds

        /** The longest interval between two asks of a gateway whose account sends. */
        val RESERVE_TIME = 300.milliseconds

        /** Share of the capacity that programs under way can use before others are started. */
        const val START_RESERVE = 0.4
        val MIN_RETRY_AFTER = 20.milliseconds
        val IDLE_RETENTION = 60.seconds
    }
}
