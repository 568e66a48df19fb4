package sycamore.decisions.pace

import sycamore.decisions.turns.Distance
import sycamore.decisions.turns.EnginePlacement
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * An engine that may get the next turn of a program.
 *
 * @property distance distance from the program's home.
 * @property wait expected time until a turn would start, as the engine's gate reported it.
 * @property turns number of turns at the engine and in its queue.
 * @property slots number of turns that the engine runs at once.
 * @property pace learned pace; null if it is not known.
 * @property unread number of tokens of the turn's prompt that the engine would have to read.
 */
data class EngineCandidate<T>(
    val engine: T,
    val distance: Distance,
    val wait: Duration,
    val turns: Int,
    val slots: Int,
    val pace: LearnedPace?,
    val unread: Long = 0,
)

/**
 * The choice of an engine for a turn.
 *
 * @property expected time until the expected end of the turn, with the cost of the distance; null if the engine was
 *   chosen without a comparison.
 * @property stayed the same time for the engine that would have got the turn otherwise; null if it is the same one.
 */
data class ChosenEngine<T>(
    val engine: T,
    val expected: Duration? = null,
    val stayed: Duration? = null,
)

/**
 * Chooses the engine of each turn by its expected end.
 *
 * @property typical the typical pace of the service's engines.
 * @property output expected number of tokens of the turn; null if the caller gave no hint.
 */
class EngineChoice(
    private val typical: TypicalPace,
    private val output: Double? = null,
) {
    /**
     * Time until the expected end of the turn at [candidate], with the cost of the distance and of the delay that the
     * turn is expected to cause to others.
     */
    fun expectedEnd(candidate: EngineCandidate<*>): Duration {
        val pace = typical.expected(candidate.pace)
        val tokens = output ?: typical.pace.tokens
        val others = minOf(candidate.turns, candidate.slots - 1).coerceAtLeast(0)
        val turnTime = pace.turnTime(candidate.unread, tokens, others.toDouble())
        val queued = (candidate.turns - candidate.slots + 1).coerceAtLeast(0)
        val wait = maxOf(candidate.wait, pace.turnTime(0, tokens, others.toDouble()) * queued / candidate.slots)
        val crowd = ((candidate.turns + 1.0) / candidate.slots - CROWDED_SHARE).coerceAtLeast(0.0)
        return wait * WAIT_WEIGHT + turnTime * (1 + crowd * CROWD_WEIGHT) +
            EnginePlacement.distanceCost(candidate.distance) + entryCost(candidate)
    }

    /** The expected end at [candidate] if it were idle. */
    private fun idleEnd(candidate: EngineCandidate<*>): Duration =
        expectedEnd(candidate.copy(wait = Duration.ZERO, turns = 0, pace = candidate.pace?.copy(slowdown = 1.0)))

    /** Whether [candidate] is of typical pace, not slow at present, and at most half full. */
    fun isUnloaded(candidate: EngineCandidate<*>): Boolean =
        typical.expected(candidate.pace) == typical.pace && candidate.turns * 2 <= candidate.slots

    /** Whether an engine with the learned [pace] may be much better than an unloaded one of typical pace that holds the prompt. */
    fun isFaster(pace: LearnedPace?): Boolean = typical.expected(pace).tokenTime < typical.pace.tokenTime

    /** A new engine gets turns as fast as it shows that it answers them. */
    private fun entryCost(candidate: EngineCandidate<*>): Duration =
        if (typical.isNewcomer(candidate.pace)) {
            ENTRY_COST * (candidate.turns - candidate.pace!!.samples).coerceAtLeast(0)
        } else {
            Duration.ZERO
        }

    /**
     * The engines that are worth a comparison with [stay]: a few of those of [others] at which the turn would end much
     * earlier if they were idle. They are drawn by [random], so that gateways with the same view do not all choose the
     * same engine.
     */
    fun <T> worthComparing(
        stay: EngineCandidate<T>,
        others: Collection<EngineCandidate<T>>,
        random: Random,
    ): List<EngineCandidate<T>> {
        val stayEnd = expectedEnd(stay)
        val latest = stayEnd - margin(stayEnd)
        return others.filter { idleEnd(it) < latest }.shuffled(random).take(EnginePlacement.SAMPLE_SIZE)
    }

    /** Chooses [stay], which holds the prompt, unless the turn is expected to end much earlier at one of [others]. */
    fun <T> choose(
        stay: EngineCandidate<T>,
        others: Collection<EngineCandidate<T>>,
    ): ChosenEngine<T> {
        val stayEnd = expectedEnd(stay)
        val best = others.minByOrNull(::expectedEnd) ?: return ChosenEngine(stay.engine, stayEnd)
        val end = expectedEnd(best)
        return if (end + margin(stayEnd) < stayEnd) {
            ChosenEngine(best.engine, end, stayEnd)
        } else {
            ChosenEngine(stay.engine, stayEnd)
        }
    }

    private fun margin(stay: Duration): Duration = maxOf(MIN_MARGIN, stay * MARGIN_SHARE)

    private companion object {
        /** What a turn has to gain to leave the engine that holds its prompt, so that programs do not move to and fro. */
        val MIN_MARGIN = 25.milliseconds
        const val MARGIN_SHARE = 0.15
        val ENTRY_COST = 40.milliseconds

        /** A turn that waits delays those that come after it too. */
        const val WAIT_WEIGHT = 3.0

        /** Engines that are nearly full cost more, since other gateways send turns at the same time. */
        const val CROWDED_SHARE = 0.7
        const val CROWD_WEIGHT = 0.5
    }
}
