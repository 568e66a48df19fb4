package sycamore.decisions

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** State of the circuit breaker of one upstream. Times are by the clock of its owner. */
sealed interface Breaker {
    /** Whether a call may be sent at [now]. */
    fun allows(now: Duration): Boolean

    /** The state after a call was sent at [now]. */
    fun sent(now: Duration): Breaker = this

    /** The state after a call succeeded. */
    fun succeeded(): Breaker = Closed()

    /** The state after a call failed at [now]. */
    fun failed(now: Duration): Breaker

    /** Calls are sent. The last [failures] calls failed in a row. */
    data class Closed(
        val failures: Int = 0,
    ) : Breaker {
        override fun allows(now: Duration) = true

        override fun failed(now: Duration): Breaker =
            if (failures + 1 < THRESHOLD) Closed(failures + 1) else Open(now + FIRST_PAUSE, FIRST_PAUSE)
    }

    /** No call is sent before [until]. The first call after that probes the upstream. */
    data class Open(
        val until: Duration,
        val pause: Duration,
    ) : Breaker {
        override fun allows(now: Duration) = now >= until

        override fun sent(now: Duration): Breaker = if (now >= until) Probing(now + PROBE_LIMIT, pause) else this

        override fun succeeded(): Breaker = this

        override fun failed(now: Duration): Breaker = this
    }

    /** One call probes the upstream. If its result is lost, another probe may be sent at [until]. */
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
        /** Number of failures in a row that opens the breaker. */
        const val THRESHOLD = 5

        /** Time for which the breaker stays open at first, before the first probe. */
        val FIRST_PAUSE = 1.seconds

        /** Maximum time for which the breaker stays open before the next probe. */
        val MAX_PAUSE = 30.seconds

        /** Time after which a probe without a result counts as lost. */
        val PROBE_LIMIT = 10.seconds
    }
}

/**
 * Token bucket that limits retries to a share of the recent calls, so that retries cannot multiply the load in an
 * outage.
 *
 * @property tokens number of retries that are allowed now.
 */
data class RetryBudget(
    val tokens: Double = MAX_TOKENS,
) {
    /** The budget after the first attempt of a call. */
    fun called(): RetryBudget = RetryBudget(minOf(MAX_TOKENS, tokens + SHARE))

    /** The budget after a retry, or null when none is left. */
    fun retried(): RetryBudget? = if (tokens >= 1.0) RetryBudget(tokens - 1.0) else null

    companion object {
        /** Retries per first attempt, in the long run. */
        const val SHARE = 0.1

        /** Maximum number of retries in a burst. */
        const val MAX_TOKENS = 10.0
    }
}
