package sycamore.decisions

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** How one call went, as its gate saw it. Durations exclude the wait in the gate's queue. */
data class ServedCall(
    val computedTokens: Long,
    val cachedTokens: Long,
    val outputTokens: Long,
    val firstToken: Duration,
    val whole: Duration,
)

/**
 * Speed of an upstream, learnt from the calls that it served as moving averages.
 *
 * @property tokenTime time between two tokens of one call.
 * @property prefillPerToken time to compute one prompt token.
 * @property callTime time of a whole call.
 * @property outputTokens generated tokens of a call.
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
            tokenTime = if (call.outputTokens > 1) tokenTime.towards(gap(call)) else tokenTime,
            prefillPerToken =
                if (call.computedTokens >= MIN_COMPUTED) {
                    prefillPerToken.towards(call.firstToken / call.computedTokens.toDouble())
                } else {
                    prefillPerToken
                },
            callTime = callTime.towards(call.whole),
            outputTokens = outputTokens + (call.outputTokens - outputTokens) * SHARE,
        )

    /**
     * Time of the upstream that a call takes away from the others when [capacity] calls share it: prefill is not
     * shared, token steps are.
     */
    fun work(
        computedTokens: Long,
        outputTokens: Long,
        capacity: Int,
    ): Duration = prefillPerToken * computedTokens.toDouble() + tokenTime * (outputTokens.toDouble() / capacity)

    /** Tokens to expect of an answer of at most [bound] tokens, with some margin. */
    fun expectedOutput(bound: Long): Long = minOf(bound, (outputTokens * OUTPUT_MARGIN).toLong())

    private fun gap(call: ServedCall): Duration = (call.whole - call.firstToken) / (call.outputTokens - 1).toDouble()

    private fun Duration.towards(sample: Duration): Duration = this + (sample - this) * SHARE

    companion object {
        /** Before any call was served. */
        val DEFAULT = Speed(20.milliseconds, 100.microseconds, 2_000.milliseconds, 128.0)

        private const val SHARE = 0.05
        private const val OUTPUT_MARGIN = 1.5
        private const val MIN_COMPUTED = 256L
    }
}
