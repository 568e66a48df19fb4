package sycamore.decisions.pace

import kotlin.math.abs

/**
 * The pace of the engine in the middle of those of a service, with which others are compared.
 *
 * @property pace the pace, without a slowdown.
 */
data class TypicalPace(
    val pace: LearnedPace,
) {
    /**
     * What to expect of an engine with the [learned] pace. The typical pace is assumed of an engine that is little known
     * or hardly differs from it, so that errors of measurement move no turn.
     */
    fun expected(learned: LearnedPace?): LearnedPace {
        if (learned == null || learned.samples < MIN_SAMPLES) return pace
        val slowdown = if (learned.slowdown < MIN_SLOWDOWN) 1.0 else learned.slowdown
        val isAlike = abs(learned.tokenTime / pace.tokenTime - 1) < MIN_DIFFERENCE
        return (if (isAlike) pace else learned).copy(slowdown = slowdown)
    }

    /** Whether an engine with the [learned] pace is so new that only some turns should be sent to it. */
    fun isNewcomer(learned: LearnedPace?): Boolean =
        learned != null && learned.samples < SETTLED_SAMPLES && pace.samples >= SETTLED_SAMPLES

    companion object {
        private const val MIN_SAMPLES = 3
        private const val SETTLED_SAMPLES = 7
        private const val MIN_DIFFERENCE = 0.15
        private const val MIN_SLOWDOWN = 1.25

        /** The typical one of [paces]; null if none is known well enough. */
        fun of(paces: Collection<LearnedPace>): TypicalPace? {
            val known = paces.filter { it.samples >= MIN_SAMPLES }.sortedBy { it.tokenTime }
            return known.getOrNull((known.size - 1) / 2)?.let { TypicalPace(it.copy(slowdown = 1.0)) }
        }
    }
}
