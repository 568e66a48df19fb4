package sycamore.decisions

import kotlinx.serialization.Serializable
import sycamore.model.HostName
import sycamore.model.ModelName
import sycamore.model.PlaceName
import sycamore.model.Weights
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Request to place a program or a call on an upstream.
 *
 * @property from place at which the caller's traffic enters.
 * @property model model that has to be loaded, or null when any model will do.
 * @property newTokens prompt tokens that no upstream has computed yet.
 * @property historyTokens prompt tokens that were computed before.
 * @property outputTokens expected number of generated tokens per turn.
 * @property turns expected number of turns of the program from now on, this one included.
 * @property bytesPerTurn bytes of a turn's request and answer together.
 * @property home host that serves the program now, or null for a new program.
 * @property resident tokens of the history in the cache of each upstream.
 */
data class PlacementRequest(
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
    /** Number of tokens that the call needs in memory. */
    val tokens: Long get() = historyTokens + newTokens + outputTokens

    /** Whether the cache at [host] holds most of the history. */
    fun isResidentAt(host: HostName): Boolean = (resident[host] ?: 0) * 2 >= historyTokens
}

/**
 * Estimated cost of placing a call on [host].
 *
 * @property latency expected time of the program on the host.
 * @property recomputed time to recompute history that only other caches hold or that the host's cache will have lost.
 * @property billedBytes bytes sent across billed links.
 * @property cost weighted sum of the other values, in seconds.
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

/** Reason why an upstream cannot take a call. */
@Serializable
data class Unfit(
    val host: HostName,
    val reason: String,
) {
    override fun toString(): String = "$host: $reason"
}

/** Result of placing a call, with the candidates that were compared. */
@Serializable
sealed interface Placement {
    /** The call goes to [best]; [others] are the next best candidates, cheapest first. */
    @Serializable
    data class Chosen(
        val best: Candidate,
        val others: List<Candidate>,
        val unfit: List<Unfit>,
    ) : Placement

    /** No upstream can take the call. */
    @Serializable
    data class Nowhere(
        val unfit: List<Unfit>,
    ) : Placement
}

/** Chooses an upstream by expected latency, prefill that its cache saves, and bytes across billed links. */
class Placer(
    private val network: Network,
    private val weights: Weights,
) {
    /**
     * Places [request] on one of [upstreams], in time linear in their number and independent of the number of programs.
     */
    fun place(
        request: PlacementRequest,
        upstreams: List<UpstreamState>,
    ): Placement {
        val unfit = ArrayList<Unfit>()
        val candidates = ArrayList<Candidate>(upstreams.size)
        for (upstream in upstreams) {
            val reason = unfitReason(request, upstream)
            if (reason == null) candidates += evaluate(request, upstream) else unfit += Unfit(upstream.host, reason)
        }
        val best = candidates.minByOrNull { it.cost } ?: return Placement.Nowhere(unfit)
        return Placement.Chosen(best, runnersUp(candidates, best), unfit)
    }

    private fun unfitReason(
        request: PlacementRequest,
        upstream: UpstreamState,
    ): String? =
        when {
            !upstream.isAccepting -> "takes no calls"
            request.model != null && upstream.models.isNotEmpty() && request.model !in upstream.models ->
                "expected model ${request.model}, found ${upstream.models.joinToString()}"
            upstream.memoryTokens in 1 until request.tokens ->
                "expected memory for ${request.tokens} tokens, found ${upstream.memoryTokens}"
            else -> null
        }

    /** Estimates the cost of [request] on [upstream], which has to be fit for it. */
    fun evaluate(
        request: PlacementRequest,
        upstream: UpstreamState,
    ): Candidate {
        val resident = minOf(request.resident[upstream.host] ?: 0, request.historyTokens)
        val missing = request.historyTokens - resident
        val expectedLoss =
            upstream.prefillPerToken *
                (shortage(request, upstream) * request.tokens * (request.turns - 1).coerceAtLeast(0.0))
        val recomputed = upstream.prefillPerToken * missing.toDouble() + expectedLoss
        val latency =
            upstream.wait * request.turns +
                upstream.tokenTime * (request.outputTokens * request.turns) +
                upstream.prefillPerToken * request.newTokens.toDouble() +
                network.latency(request.from, upstream.place) * (2 * request.turns) +
                recomputed
        val bytes = billedBytes(request, upstream)
        val cost =
            weights.latency * latency.inSeconds +
                weights.waste * (recomputed.inSeconds + bytes.toDouble() / BILLED_BYTES_PER_SECOND)
        return Candidate(upstream.host, latency, recomputed, bytes, cost)
    }

    /** The share of the upstream's programs whose cache does not fit into its memory. */
    private fun shortage(
        request: PlacementRequest,
        upstream: UpstreamState,
    ): Double {
        if (upstream.memoryTokens == 0L) return 0.0
        val wanted = upstream.committedTokens + request.tokens
        return (1.0 - upstream.memoryTokens.toDouble() / wanted).coerceAtLeast(0.0)
    }

    private fun billedBytes(
        request: PlacementRequest,
        upstream: UpstreamState,
    ): Long {
        val turns =
            if (network.isBilled(request.from, upstream.place)) (request.bytesPerTurn * request.turns).toLong() else 0
        val isMove = request.home != null && request.home != upstream.host
        return turns + if (isMove) request.historyTokens * BYTES_PER_TOKEN else 0
    }

    private fun runnersUp(
        candidates: List<Candidate>,
        best: Candidate,
    ): List<Candidate> {
        val next = ArrayList<Candidate>(MAX_RUNNERS_UP + 1)
        for (candidate in candidates) {
            if (candidate === best) continue
            val at = next.indexOfFirst { it.cost > candidate.cost }
            if (at >= 0) {
                next.add(at, candidate)
            } else if (next.size < MAX_RUNNERS_UP) {
                next += candidate
            }
            if (next.size > MAX_RUNNERS_UP) next.removeAt(MAX_RUNNERS_UP)
        }
        return next
    }

    private val Duration.inSeconds: Double get() = this / 1.seconds

    companion object {
        /** Bytes across a billed link that cost as much as one second of prefill. */
        const val BILLED_BYTES_PER_SECOND = 256.0 * 1024

        /** Estimated bytes of text per token. */
        const val BYTES_PER_TOKEN = 4L

        private const val MAX_RUNNERS_UP = 3
    }
}
