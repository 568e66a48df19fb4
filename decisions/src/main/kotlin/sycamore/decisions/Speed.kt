package sycamore.decisions

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * Measurements of one served call, taken by its gate. Durations exclude the wait in the gate's queue.
 *
 * @property computedTokens prompt tokens that the upstream computed.
 * @property cachedTokens prompt tokens that the upstream had cached.
 * @property outputTokens generated tokens.
 * @property firstToken time until the first token.
 * @property whole time until the complete answer.
 */
data class ServedCall(
    val computedTokens: Long,
    val cachedTokens: Long,
    val outputTokens: Long,
    val firstToken: Duration,
    val whole: Duration,
)

/**
 * Estimated speed of an upstream, as moving averages over the calls that it served.
 *
 * @property tokenTime time between two tokens of one call.
 * @property prefillPerToken time to compute one prompt token.
 * @property callTime time of a complete call.
 * @property outputTokens number of generated tokens of a call.
 */
data class Speed(
    val tokenTime: Duration,
    val prefillPerToken: Duration,
    val callTime: Duration,
    val outputTokens: Double,
) {
    /** The estimate after [call]. */
    fun observed(call: ServedCall): Speed =
        Speed(
            tokenTime = if (call.outputTokens > 1) tokenTime.movedTowards(timePerToken(call)) else tokenTime,
            prefillPerToken =
                if (call.computedTokens >= MIN_COMPUTED_TOKENS) {
                    prefillPerToken.movedTowards(call.firstToken / call.computedTokens.toDouble())
                } else {
                    prefillPerToken
                },
            callTime = callTime.movedTowards(call.whole),
            outputTokens = outputTokens + (call.outputTokens - outputTokens) * SAMPLE_WEIGHT,
        )

    /**
     * Time of the upstream that a call takes away from other calls when [capacity] calls share it: steps that generate
     * tokens are shared between calls, prefill is not.
     */
    fun work(
        computedTokens: Long,
        outputTokens: Long,
        capacity: Int,
    ): Duration = prefillPerToken * computedTokens.toDouble() + tokenTime * (outputTokens.toDouble() / capacity)

    /** Expected number of tokens of an answer that is limited to [bound] tokens, with some margin. */
    fun expectedOutput(bound: Long): Long = minOf(bound, (outputTokens * OUTPUT_MARGIN).toLong())

    private fun timePerToken(call: ServedCall): Duration =
        (call.whole - call.firstToken) / (call.outputTokens - 1).toDouble()

    private fun Duration.movedTowards(sample: Duration): Duration = this + (sample - this) * SAMPLE_WEIGHT

    companion object {
        /** Estimate before any call was served. */
        val DEFAULT = Speed(20.milliseconds, 100.microseconds, 2_000.milliseconds, 128.0)

        /** Weight of one call in the moving averages. */
        private const val SAMPLE_WEIGHT = 0.05

        /** Ratio between the expected number of tokens of an answer and the average of previous answers. */
        private const val OUTPUT_MARGIN = 1.5

        /** Minimum number of computed prompt tokens of a call that the time per prompt token is estimated from. */
        private const val MIN_COMPUTED_TOKENS = 256L
    }
}
