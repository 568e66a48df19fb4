package sycamore.decisions

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Decision on whether a call may join a gate's queue. */
sealed interface OverloadDecision {
    /** The call joins the queue. */
    data object Enqueue : OverloadDecision

    /** The call is refused before it runs. The caller may retry after [retryAfter]. */
    data class Shed(
        val reason: String,
        val retryAfter: Duration,
    ) : OverloadDecision
}

/**
 * Load shedding at a gate, decided before a call is queued. New programs are refused before running ones, because all
 * work that was done on a program is wasted if the program is not finished.
 *
 * @property maxQueued maximum number of calls in the queue.
 * @property newProgramShare share of [maxQueued] up to which calls of new programs are accepted.
 * @property newProgramMaxWait expected wait up to which calls of new programs are accepted.
 */
data class OverloadPolicy(
    val maxQueued: Int = 1024,
    val newProgramShare: Double = 0.5,
    val newProgramMaxWait: Duration = 10.seconds,
) {
    /**
     * Decides on a call whose caller waits for [timeLeft], when [queued] calls are waiting and a wait of [wait] is
     * expected.
     */
    fun decide(
        isNew: Boolean,
        queued: Int,
        wait: Duration,
        timeLeft: Duration,
    ): OverloadDecision =
        when {
            queued >= maxQueued -> shed("expected at most $maxQueued calls in the queue, found $queued", wait)
            isNew && queued >= maxQueued * newProgramShare -> shed("$queued calls of running programs come first", wait)
            isNew && wait > newProgramMaxWait ->
                shed("expected a wait of at most $newProgramMaxWait, found $wait", wait - newProgramMaxWait)
            isNew && wait > timeLeft -> shed("expected an answer within $timeLeft, found a wait of $wait", wait)
            else -> OverloadDecision.Enqueue
        }

    private fun shed(
        reason: String,
        wait: Duration,
    ) = OverloadDecision.Shed(reason, wait.coerceIn(MIN_RETRY_DELAY, MAX_RETRY_DELAY))

    companion object {
        private val MIN_RETRY_DELAY = 1.seconds
        private val MAX_RETRY_DELAY = 60.seconds
    }
}
