package sycamore.decisions

import kotlinx.serialization.Serializable
import sycamore.model.HostName
import sycamore.model.ModelName
import sycamore.model.PlaceName
import kotlin.time.Duration

/**
 * What is known of an upstream when a decision is made. It may be as old as the last summary from its host.
 *
 * @property capacity calls that it works on at once.
 * @property running calls in progress, by the gate's own count.
 * @property queued calls that wait at the gate.
 * @property wait expected time in the gate's queue of a call that comes now.
 * @property tokenTime time between two generated tokens of one call.
 * @property prefillPerToken time to compute one prompt token.
 * @property memoryTokens tokens that its cache holds; 0 when unknown.
 * @property committedTokens tokens of the programs that live there, running and paused.
 * @property models what it has loaded; empty when it answers with any model.
 * @property isAccepting whether it takes calls: its breaker is closed and its host is not leaving.
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
     * The state as it will be when [ask] has arrived here. An entry applies it to a summary for each call that it has
     * placed since, or else all calls between two summaries would go to one upstream.
     */
    fun expecting(ask: PlacementAsk): UpstreamState {
        val work =
            prefillPerToken * ask.newTokens.toDouble() + tokenTime * (ask.outputTokens.toDouble() / capacity)
        val isFull = running + queued >= capacity
        return copy(
            queued = queued + 1,
            wait = if (isFull) wait + work else wait,
            committedTokens = committedTokens + if (ask.home == host) 0 else ask.tokens,
        )
    }
}
