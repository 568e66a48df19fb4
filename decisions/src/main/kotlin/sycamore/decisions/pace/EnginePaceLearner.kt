package sycamore.decisions.pace

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * What the gate of an engine measured of a turn.
 *
 * @property unread estimated number of prompt tokens that the engine had to read.
 * @property tokens number of tokens after the first event.
 * @property firstTime time from sending the prompt to the first event.
 * @property restTime time from the first event to the last one.
 * @property others mean number of other turns at the engine meanwhile.
 */
data class MeasuredTurn(
    val unread: Long,
    val tokens: Long,
    val firstTime: Duration,
    val restTime: Duration,
    val others: Double,
)

/**
 * Learns the pace of one engine from its turns. Three causes of slowness are kept apart: a quantile over several seconds
 * tells how fast the engine is by nature, a decayed line how much each further turn slows it, and the ratio of the time of the
 * latest events to both how slow it is at present. Times are by the gate's clock.
 */
data class EnginePaceLearner(
    private val tokenTimes: RecentSamples = RecentSamples(),
    private val tokenCounts: RecentSamples = RecentSamples(),
    private val load: DecayedLine = DecayedLine(LOAD_HALF_LIFE, LOAD_RIDGE),
    private val reading: DecayedLine = DecayedLine(READING_HALF_LIFE, READING_RIDGE),
    private val slowdown: Slowdown = Slowdown(),
) {
    private val loadShare: Double
        get() = if (load.intercept <= 0) 0.0 else (load.slope / load.intercept).coerceIn(0.0, MAX_LOAD_SHARE)

    /** The learner after [turn] ended at [now]. */
    fun plus(
        turn: MeasuredTurn,
        now: Duration,
    ): EnginePaceLearner {
        if (turn.tokens <= 0) return copy(reading = readingAfter(turn, 1.0, now))
        val sample = turn.restTime.toDouble(DurationUnit.NANOSECONDS) / turn.tokens
        val usual = (tokenTimes.quantile(USUAL_SHARE) ?: sample).coerceAtLeast(1.0)
        val ratio = sample / (usual * (1 + loadShare * turn.others))
        // While the engine is disturbed or its pace changes, more turns are at it because it is slow, not the reverse.
        val isUsual = ratio in 1 / MAX_USUAL_RATIO..MAX_USUAL_RATIO
        val nextLoad = if (isUsual) load.plus(turn.others, sample / usual, now) else load
        return EnginePaceLearner(
            tokenTimes.plus(sample / (1 + loadShare * turn.others), now),
            tokenCounts.plus(turn.tokens.toDouble(), now),
            nextLoad,
            readingAfter(turn, ratio, now),
            slowdown,
        )
    }

    /**
     * The learner after the next [tokens] of a turn took [time], with [others] turns at the engine. Tells a slowdown of
     * the engine long before the turn ends.
     */
    fun plusProgress(
        tokens: Int,
        time: Duration,
        others: Int,
        now: Duration,
    ): EnginePaceLearner {
        val usual = tokenTimes.quantile(USUAL_SHARE) ?: return this
        val ratio = time.toDouble(DurationUnit.NANOSECONDS) / (usual * (1 + loadShare * others) * tokens)
        return copy(slowdown = slowdown.plus(ratio, now))
    }

    private fun readingAfter(
        turn: MeasuredTurn,
        ratio: Double,
        now: Duration,
    ): DecayedLine {
        val undisturbed = turn.firstTime / ratio.coerceAtLeast(1.0)
        return reading.plus(turn.unread.toDouble(), undisturbed.toDouble(DurationUnit.NANOSECONDS), now)
    }

    /**
     * The pace at [now].
     *
     * @param quietFor time since the engine last sent anything while it had turns; zero if it has none.
     * @param eventTokens number of tokens in an event.
     */
    fun pace(
        now: Duration,
        quietFor: Duration = Duration.ZERO,
        eventTokens: Int = 1,
    ): LearnedPace? {
        val usual = tokenTimes.quantile(USUAL_SHARE) ?: return null
        val tokenTime = usual.nanoseconds
        val eventTime = maxOf(tokenTime * eventTokens, reading.intercept.coerceAtLeast(0.0).nanoseconds)
        // A turn that hangs is not measured before its end.
        val quiet = if (quietFor > eventTime * MAX_QUIET_EVENTS) quietFor / eventTime else 1.0
        return LearnedPace(
            tokenTime,
            loadShare,
            reading.intercept.coerceAtLeast(0.0).nanoseconds,
            reading.slope.coerceAtLeast(0.0).nanoseconds,
            maxOf(slowdown.at(now), quiet.coerceAtMost(Slowdown.MAX_FACTOR)),
            tokenCounts.quantile(0.5) ?: 0.0,
            tokenTimes.size,
        )
    }

    private companion object {
        /** Below the median, since disturbances only ever make turns slower. */
        const val USUAL_SHARE = 0.4
        const val MAX_USUAL_RATIO = 1.5
        const val MAX_LOAD_SHARE = 0.5
        const val MAX_QUIET_EVENTS = 4

        /** Longer than that of the pace: how load acts depends on the engine's kind, which does not change. */
        val LOAD_HALF_LIFE = 20.seconds
        const val LOAD_RIDGE = 4.0
        val READING_HALF_LIFE = 5.seconds

        /** A few prompts that differ by some hundred tokens. */
        val READING_RIDGE = 300.0.pow(2)
    }
}
