package sycamore.decisions.accounts

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Terms on which the decider of an account grants credit.
 *
 * @property rate requests per second that the bucket gains.
 * @property capacity maximum number of requests in the bucket.
 * @property life time after its request at which unused credit expires.
 */
data class CreditTerms(
    val rate: Double,
    val capacity: Double,
    val life: Duration,
)

/**
 * Bounds of what an account may use: in any span of [window], at most
 * `(rate * window + burst) * (1 + overage) + slack` requests.
 */
data class QuotaBounds(
    val window: Duration,
    val overage: Double,
    val slack: Double,
) {
    /** Maximum number of requests of an account with the limit [quota] in any span of [window]. */
    fun mostRequests(quota: Quota): Double = (quota.rate * window.seconds + quota.burst) * (1 + overage) + slack

    /**
     * Terms for accounts with the limit [quota].
     *
     * Credit that is used in a span of the window was granted in a span that is longer by its life. So at most
     * `rate * (window + life) + capacity` requests are used, which must not exceed [mostRequests]. What the overage and the slack allow
     * is divided between the life of credit and the capacity beyond the burst. Programs send several calls at once, and one that is
     * refused a call fails, so what a moderate life leaves goes to the capacity.
     */
    fun terms(quota: Quota): CreditTerms {
        val most = mostRequests(quota)
        val base = quota.rate * window.seconds + quota.burst
        val spare = (most - base) * SPARE_SHARE / quota.rate
        if (spare < MIN_SPARE) return reducedTerms(quota, most)
        val life = minOf(spare * (1 - GATHERING_SHARE), MAX_LIFE, window.seconds)
        val capacity = quota.burst + quota.rate * (spare - life)
        return CreditTerms(quota.rate, maxOf(capacity, MIN_CAPACITY), life.seconds)
    }

    /** Terms where the overage and the slack leave too little time: the bucket gains less than the rate. */
    private fun reducedTerms(
        quota: Quota,
        most: Double,
    ): CreditTerms {
        val rate = minOf(quota.rate, REDUCED_SHARE * (most - quota.burst) / (window.seconds + MIN_SPARE))
        val gathering = MIN_SPARE * GATHERING_SHARE
        return CreditTerms(
            rate,
            maxOf(quota.burst + rate * gathering, MIN_CAPACITY),
            (MIN_SPARE - gathering).seconds,
        )
    }

    private companion object {
        /** Share of what the overage and the slack allow that is used. The rest covers clocks that differ in rate. */
        const val SPARE_SHARE = 0.9

        /** Least time, in seconds, in which credit can be fetched from the farthest region, used, and fetched again. */
        const val MIN_SPARE = 0.4

        /** Covers clocks that differ in rate where the bucket gains less than the rate. */
        const val REDUCED_SHARE = 0.99

        const val GATHERING_SHARE = 0.3

        /** Several intervals between two asks, so that credit outlasts the restart of a decider's process. */
        const val MAX_LIFE = 1.5

        /** A bucket that cannot hold one request would never grant any. */
        const val MIN_CAPACITY = 1.0
    }
}

internal val Duration.seconds: Double get() = toDouble(DurationUnit.SECONDS)
