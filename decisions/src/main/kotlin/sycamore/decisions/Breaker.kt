package sycamore.decisions

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Circuit breaker of one upstream. Times are of the owner's clock. */
sealed interface Breaker {
    /** Whether a call may go out at [now]. */
    fun allows(now: Duration): Boolean

    /** The state after a call that began at [now] was let out. */
    fun sent(now: Duration): Breaker = this

    /** The state after a call succeeded. */
    fun succeeded(): Breaker = Closed()

    /** The state after a call failed at [now]. */
    fun failed(now: Duration): Breaker

    /** Calls go out. [failures] have come in a row. */
    data class Closed(
        val failures: Int = 0,
    ) : Breaker {
        override fun allows(now: Duration) = true

        override fun failed(now: Duration): Breaker =
            if (failures + 1 < THRESHOLD) Closed(failures + 1) else Open(now + FIRST_PAUSE, FIRST_PAUSE)
    }

    /** No call goes out until [until]; then one probes the upstream. */
    data class Open(
        val until: Duration,
        val pause: Duration,
    ) : Breaker {
        override fun allows(now: Duration) = now >= until

        override fun sent(now: Duration): Breaker = if (now >= until) Probing(now + PROBE_LIMIT, pause) else this

        override fun succeeded(): Breaker = this

        override fun failed(now: Duration): Breaker = this
    }

    /** One call probes the upstream. A probe that is lost lets another go at [until]. */
    data class Probing(
        val until: Duration,
        val pause: Duration,
    ) : Breaker {
        override fun allows(now: Duration) = now >= until

        override fun sent(now: Duration): Breaker = copy(until = now + PROBE_LIMIT)

        override fun failed(now: Duration): Breaker {
            val next = minOf(pause * 2, MAX_PAUSE)
            return Open(now + next, next)
        }
    }

    companion object {
        /** Failures in a row that open the breaker. */
        const val THRESHOLD = 5

        /** How long it stays open at first. */
        val FIRST_PAUSE = 1.seconds

        /** How long it stays open at most before the next probe. */
        val MAX_PAUSE = 30.seconds

        /** How long a probe is waited for. */
        val PROBE_LIMIT = 10.seconds
    }
}

/** Retries allowed by a share of recent calls, so that they cannot multiply the load of an outage. */
data class RetryBudget(
    val tokens: Double = MAX_TOKENS,
) {
    /** The budget after a first attempt. */
    fun called(): RetryBudget = RetryBudget(minOf(MAX_TOKENS, tokens + SHARE))

    /** The budget after a retry, or null when none is left. */
    fun retried(): RetryBudget? = if (tokens >= 1.0) RetryBudget(tokens - 1.0) else null

    companion object {
        /** Retries per first attempt, in the long run. */
        const val SHARE = 0.1

        /** Retries in a burst. */
        const val MAX_TOKENS = 10.0
    }
}
