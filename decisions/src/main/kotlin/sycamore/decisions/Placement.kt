package sycamore.decisions

import kotlinx.serialization.Serializable
import sycamore.model.HostName
import sycamore.model.ModelName
import sycamore.model.PlaceName
import sycamore.model.Weights
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A program or a call that needs an upstream.
 *
 * @property from the place that the caller's traffic comes in at.
 * @property model what has to be loaded, or null when any will do.
 * @property newTokens prompt tokens that no upstream has seen.
 * @property historyTokens prompt tokens that were computed before.
 * @property outputTokens tokens expected to be generated per turn.
 * @property turns turns that are expected to follow, this one included.
 * @property bytesPerTurn of request and answer together.
 * @property home where the program lives now, or null for a new one.
 * @property resident tokens of the history in the caches of the upstreams.
 */
data class PlacementAsk(
    val from: PlaceName,
    val model: ModelName? = null,
    val newTokens: Long,
    val historyTokens: Long = 0,
    val outputTokens: Long = 128,
    val turns: Double = 1.0,
    val bytesPerTurn: Long = 0,
    val home: HostName? = null,
    val resident: Map<HostName, Long> = emptyMap(),
) {
    /** Tokens that the call needs in memory. */
    val tokens: Long get() = historyTokens + newTokens + outputTokens

    /** Whether the cache at [host] holds most of the history. */
    fun isResidentAt(host: HostName): Boolean = (resident[host] ?: 0) * 2 >= historyTokens
}

/**
 * What placing a call on [host] was weighed at.
 *
 * @property latency expected time of the program there.
 * @property recomputed time to compute again what a cache holds elsewhere or will have lost.
 * @property billedBytes across billed links.
 * @property cost the weighted sum, in seconds.
 */
@Serializable
data class Candidate(
    val host: HostName,
    val latency: Duration,
    val recomputed: Duration,
    val billedBytes: Long,
    val cost: Double,
) {
    override fun toString(): String = "$host: $latency, recompute $recomputed, billed $billedBytes B, cost $cost"
}

/** Why an upstream cannot take a call. */
@Serializable
data class Unfit(
    val host: HostName,
    val reason: String,
) {
    override fun toString(): String = "$host: $reason"
}

/** Where a call goes, and what was weighed. */
@Serializable
sealed interface Placement {
    /** On [best]; [others] are the next best, cheapest first. */
    @Serializable
    data class Chosen(
        val best: Candidate,
        val others: List<Candidate>,
        val unfit: List<Unfit>,
    ) : Placement

    /** Nowhere: every upstream is unfit. */
    @Serializable
    data class Nowhere(
        val unfit: List<Unfit>,
    ) : Placement
}

/** Weighs expected latency, prefill that caches save, and bytes across billed links. */
class Placer(
    private val network: Network,
    private val weights: Weights,
) {
    /** Places [ask] on one of [upstreams]. Takes time linear in the upstreams, whatever programs there are. */
    fun place(
        ask: PlacementAsk,
        upstreams: List<UpstreamState>,
    ): Placement {
        val unfit = ArrayList<Unfit>()
        val candidates = ArrayList<Candidate>(upstreams.size)
        for (upstream in upstreams) {
            val reason = reasonAgainst(ask, upstream)
            if (reason == null) candidates += weigh(ask, upstream) else unfit += Unfit(upstream.host, reason)
        }
        val best = candidates.minByOrNull { it.cost } ?: return Placement.Nowhere(unfit)
        return Placement.Chosen(best, runnersUp(candidates, best), unfit)
    }

    private fun reasonAgainst(
        ask: PlacementAsk,
        upstream: UpstreamState,
    ): String? =
        when {
            !upstream.isAccepting -> "takes no calls"
            ask.model != null && upstream.models.isNotEmpty() && ask.model !in upstream.models ->
                "expected model ${ask.model}, found ${upstream.models.joinToString()}"
            upstream.memoryTokens in 1 until ask.tokens ->
                "expected memory for ${ask.tokens} tokens, found ${upstream.memoryTokens}"
            else -> null
        }

    /** The cost of [ask] on [upstream], which has to be fit for it. */
    fun weigh(
        ask: PlacementAsk,
        upstream: UpstreamState,
    ): Candidate {
        val resident = minOf(ask.resident[upstream.host] ?: 0, ask.historyTokens)
        val missing = ask.historyTokens - resident
        val lost =
            upstream.prefillPerToken * (shortage(ask, upstream) * ask.tokens * (ask.turns - 1).coerceAtLeast(0.0))
        val recomputed = upstream.prefillPerToken * missing.toDouble() + lost
        val latency =
            upstream.wait * ask.turns +
                upstream.tokenTime * (ask.outputTokens * ask.turns) +
                upstream.prefillPerToken * ask.newTokens.toDouble() +
                network.latency(ask.from, upstream.place) * (2 * ask.turns) +
                recomputed
        val bytes = billedBytes(ask, upstream)
        val cost =
            weights.latency * latency.inSeconds +
                weights.waste * (recomputed.inSeconds + bytes.toDouble() / BILLED_BYTES_PER_SECOND)
        return Candidate(upstream.host, latency, recomputed, bytes, cost)
    }

    /** The share of the upstream's programs whose cache does not fit into its memory. */
    private fun shortage(
        ask: PlacementAsk,
        upstream: UpstreamState,
    ): Double {
        if (upstream.memoryTokens == 0L) return 0.0
        val wanted = upstream.committedTokens + ask.tokens
        return (1.0 - upstream.memoryTokens.toDouble() / wanted).coerceAtLeast(0.0)
    }

    private fun billedBytes(
        ask: PlacementAsk,
        upstream: UpstreamState,
    ): Long {
        val turns = if (network.isBilled(ask.from, upstream.place)) (ask.bytesPerTurn * ask.turns).toLong() else 0
        val isMove = ask.home != null && ask.home != upstream.host
        return turns + if (isMove) ask.historyTokens * BYTES_PER_TOKEN else 0
    }

    private fun runnersUp(
        candidates: List<Candidate>,
        best: Candidate,
    ): List<Candidate> {
        val next = ArrayList<Candidate>(RUNNERS_UP + 1)
        for (candidate in candidates) {
            if (candidate === best) continue
            val at = next.indexOfFirst { it.cost > candidate.cost }
            if (at >= 0) {
                next.add(at, candidate)
            } else if (next.size < RUNNERS_UP) {
                next += candidate
            }
            if (next.size > RUNNERS_UP) next.removeAt(RUNNERS_UP)
        }
        return next
    }

    private val Duration.inSeconds: Double get() = this / 1.seconds

    companion object {
        /** Bytes across a billed link that weigh as much as one second of prefill. */
        const val BILLED_BYTES_PER_SECOND = 256.0 * 1024

        /** Bytes of text per token. */
        const val BYTES_PER_TOKEN = 4L

        private const val RUNNERS_UP = 3
    }
}
