package sycamore.decisions

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Whether a program changes its home. */
sealed interface MoveDecision {
    /** It stays: [reason]. */
    data class Stay(
        val reason: String,
    ) : MoveDecision

    /** It moves to [to], since staying is weighed at [stay]. */
    data class Move(
        val to: Candidate,
        val stay: Candidate,
    ) : MoveDecision
}

/**
 * Hysteresis of moves: a move has to save a share of the cost and a fixed amount on top, and programs rest between two
 * moves, so that they do not follow each other back and forth.
 */
data class Moves(
    val share: Double = 0.3,
    val seconds: Double = 1.0,
    val rest: Duration = 30.seconds,
) {
    /** Decides on a program that lives at [stay]. [sinceMoved] is null when it never moved. */
    fun decide(
        stay: Candidate,
        placement: Placement,
        sinceMoved: Duration?,
    ): MoveDecision {
        val best = (placement as? Placement.Chosen)?.best ?: return MoveDecision.Stay("no upstream can take it")
        if (best.host == stay.host) return MoveDecision.Stay("its home is the best")
        if (sinceMoved != null && sinceMoved < rest) return MoveDecision.Stay("it moved $sinceMoved ago")
        val limit = stay.cost * (1 - share) - seconds
        if (best.cost >= limit) return MoveDecision.Stay("${best.host} costs ${best.cost}, expected below $limit")
        return MoveDecision.Move(best, stay)
    }
}
