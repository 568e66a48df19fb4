package sycamore.decisions

import kotlinx.serialization.Serializable
import sycamore.model.HostName
import sycamore.model.ModelName
import sycamore.model.PlaceName
import kotlin.time.Duration

/**
 * State of an upstream that decisions are based on. It may be as old as the last summary from the upstream's host.
 *
 * @property capacity maximum number of calls in progress.
 * @property running number of calls in progress, by the gate's own count.
 * @property queued number of calls that wait at the gate.
 * @property wait expected time in the gate's queue of a call that arrives now.
 * @property tokenTime time between two generated tokens of one call.
 * @property prefillPerToken time to compute one prompt token.
 * @property memoryTokens number of tokens that its cache can hold; 0 when unknown.
 * @property committedTokens tokens of the running and paused programs that are assigned to the upstream.
 * @property models loaded models; empty when it answers with any model.
 * @property isAccepting whether it accepts calls: its breaker is closed and its host is not leaving.
 */
@Serializable
data class UpstreamState(
    val host: HostName,
    val place: PlaceName,
    val capacity: Int,
    val running: Int = 0,
    val queued: Int = 0,
    val wait: Duration = Duration.ZERO,
    val tokenTime: Duration = Speed.DEFAULT.tokenTime,
    val prefillPerToken: Duration = Speed.DEFAULT.prefillPerToken,
    val memoryTokens: Long = 0,
    val committedTokens: Long = 0,
    val models: Set<ModelName> = emptySet(),
    val isAccepting: Boolean = true,
) {
    /**
     * The expected state after [request] has been placed here. An entry applies this to the last summary for each call
     * that it has placed since then. Otherwise all calls between two summaries would go to the same upstream.
     */
    fun afterPlacing(request: PlacementRequest): UpstreamState {
        val work =
            prefillPerToken * request.newTokens.toDouble() + tokenTime * (request.outputTokens.toDouble() / capacity)
        val isFull = running + queued >= capacity
        return copy(
            queued = queued + 1,
            wait = if (isFull) wait + work else wait,
            committedTokens = committedTokens + if (request.home == host) 0 else request.tokens,
        )
    }
}
