package sycamore.decisions.accounts

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A token bucket that is empty at [emptyAt]. Times are readings of one clock that must not run fast.
 *
 * @param rate tokens per second.
 * @param capacity maximum number of tokens.
 */
class TokenBucket(
    rate: Double,
    capacity: Double,
    emptyAt: Duration,
) {
    var rate = rate
        private set
    var capacity = capacity
        private set
    private var tokens = 0.0
    private var filledAt = emptyAt

    /** Number of tokens at [now]. */
    fun level(now: Duration): Double {
        if (now > filledAt) {
            tokens = minOf(capacity, tokens + rate * (now - filledAt).seconds)
            filledAt = now
        }
        return tokens
    }

    /** Changes the rate and the capacity from [now] on. */
    fun change(
        rate: Double,
        capacity: Double,
        now: Duration,
    ) {
        level(now)
        this.rate = rate
        this.capacity = capacity
        tokens = minOf(tokens, capacity)
    }

    /** Takes up to [wanted] whole tokens, but leaves [reserve] in the bucket. Returns the number taken. */
    fun take(
        wanted: Int,
        now: Duration,
        reserve: Double = 0.0,
    ): Int {
        val free = (level(now) - reserve + ROUNDING).toInt()
        val taken = minOf(wanted, free).coerceAtLeast(0)
        tokens = maxOf(0.0, tokens - taken)
        return taken
    }

    /** Time until the bucket has [wanted] tokens; limited to the time in which it fills. */
    fun timeUntil(
        wanted: Double,
        now: Duration,
    ): Duration = ((minOf(wanted, capacity) - level(now)).coerceAtLeast(0.0) / rate).seconds

    private companion object {
        /** Above the rounding errors of many small additions. */
        const val ROUNDING = 1e-6
    }
}
