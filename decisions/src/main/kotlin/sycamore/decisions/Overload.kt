package sycamore.decisions

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Whether a call may join a gate's queue. */
sealed interface Joining {
    /** It may. */
    data object Join : Joining

    /** It may not, and did not run. The caller may come back after [retryAfter]. */
    data class Shed(
        val reason: String,
        val retryAfter: Duration,
    ) : Joining
}

/**
 * Sheds load before it waits. New programs go first: what has begun is finished, since all work on it would be wasted.
 *
 * @property maxQueued calls that wait at most.
 * @property newShare share of [maxQueued] up to which new programs may join.
 * @property newWait expected wait up to which new programs may join.
 */
data class Overload(
    val maxQueued: Int = 1024,
    val newShare: Double = 0.5,
    val newWait: Duration = 10.seconds,
) {
    /** Decides on a call with [timeLeft] when [queued] calls wait and the expected wait is [wait]. */
    fun decide(
        isNew: Boolean,
        queued: Int,
        wait: Duration,
        timeLeft: Duration,
    ): Joining =
        when {
            queued >= maxQueued -> shed("expected at most $maxQueued calls in the queue, found $queued", wait)
            isNew && queued >= maxQueued * newShare -> shed("$queued calls of running programs come first", wait)
            isNew && wait > newWait -> shed("expected a wait of at most $newWait, found $wait", wait - newWait)
            isNew && wait > timeLeft -> shed("expected an answer within $timeLeft, found a wait of $wait", wait)
            else -> Joining.Join
        }

    private fun shed(
        reason: String,
        wait: Duration,
    ) = Joining.Shed(reason, wait.coerceIn(MIN_RETRY, MAX_RETRY))

    companion object {
        private val MIN_RETRY = 1.seconds
        private val MAX_RETRY = 60.seconds
    }
}
