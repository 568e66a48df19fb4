package sycamore.decisions

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Decision on whether a program moves to another home. */
sealed interface MoveDecision {
    /** The program stays, because of [reason]. */
    data class Stay(
        val reason: String,
    ) : MoveDecision

    /** The program moves to [to], which costs less than its present home, [current]. */
    data class Move(
        val to: Candidate,
        val current: Candidate,
    ) : MoveDecision
}

/**
 * Hysteresis for moves of programs: a move has to save a share of the cost plus a fixed amount, and the moves of one
 * program are [minInterval] apart. Without it, programs would follow each other back and forth between hosts.
 *
 * @property minSavingShare share of the present cost that a move has to save.
 * @property minSavingSeconds cost in seconds that a move has to save in addition.
 * @property minInterval minimum time between two moves of one program.
 */
data class MovePolicy(
    val minSavingShare: Double = 0.3,
    val minSavingSeconds: Double = 1.0,
    val minInterval: Duration = 30.seconds,
) {
    /** Decides on a program that is served by [current]. [sinceMoved] is null if it has never moved. */
    fun decide(
        current: Candidate,
        placement: Placement,
        sinceMoved: Duration?,
    ): MoveDecision {
        val best = (placement as? Placement.Chosen)?.best ?: return MoveDecision.Stay("no upstream can take it")
        if (best.host == current.host) return MoveDecision.Stay("its home is the best")
        if (sinceMoved != null && sinceMoved < minInterval) return MoveDecision.Stay("it moved $sinceMoved ago")
        val limit = current.cost * (1 - minSavingShare) - minSavingSeconds
        if (best.cost >= limit) return MoveDecision.Stay("${best.host} costs ${best.cost}, expected below $limit")
        return MoveDecision.Move(best, current)
    }
}
