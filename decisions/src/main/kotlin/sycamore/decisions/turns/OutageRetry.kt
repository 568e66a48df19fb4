package sycamore.decisions.turns

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Retry times for turns that cannot be served during an outage whose end is not known. */
object OutageRetry {
    /**
     * Time after which a caller should try again, [outage] after the outage began. An outage that has lasted for long is
     * likely to last longer, and a caller makes only a few attempts, so these should not all fall into the outage.
     *
     * @param timeLeft time that the caller has left; it does not wait for longer than a part of that.
     */
    fun retryAfter(
        outage: Duration,
        timeLeft: Duration,
    ): Duration = outage.coerceIn(MIN_DELAY, maxOf(MIN_DELAY, timeLeft * MAX_SHARE_OF_TIME_LEFT))

    /** About the time in which a home that has just started collects its part of the directory. */
    private val MIN_DELAY = 300.milliseconds

    /** Callers wait for a third of their time left at most. */
    private const val MAX_SHARE_OF_TIME_LEFT = 0.3
}
