package sycamore.decisions.pace

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How fast an engine is, as learned from turns.
 *
 * @property tokenTime time between two tokens of a turn that runs alone.
 * @property loadShare share by which each further turn at the engine makes a token slower.
 * @property firstTime time until the first event of a turn whose prompt the engine holds.
 * @property readTime time to read one token of the prompt.
 * @property slowdown how much slower the engine is at present than usual; 1 if it is not.
 * @property tokens typical number of tokens of a turn after its first event.
 * @property samples number of recent turns behind these values.
 */
data class LearnedPace(
    val tokenTime: Duration,
    val loadShare: Double = 0.0,
    val firstTime: Duration = Duration.ZERO,
    val readTime: Duration = Duration.ZERO,
    val slowdown: Double = 1.0,
    val tokens: Double = 0.0,
    val samples: Int = 0,
) {
    /**
     * Expected time of a turn that has [unread] tokens of prompt to read and [output] tokens to generate beside
     * [others] turns. A slowdown counts for as long as it may be expected to last.
     */
    fun turnTime(
        unread: Long,
        output: Double,
        others: Double,
    ): Duration {
        val usual = firstTime + readTime * unread.toDouble() + tokenTime * (output * (1 + loadShare * others))
        return usual + minOf(usual, SLOWDOWN_LEFT) * (slowdown - 1)
    }

    /** This pace as it may be expected [age] after it was measured. */
    fun aged(age: Duration): LearnedPace = copy(slowdown = Slowdown.fade(slowdown, age))

    private companion object {
        /** How much longer a disturbance lasts on average when a gateway that has heard of it sends a turn. */
        val SLOWDOWN_LEFT = 150.milliseconds
    }
}
