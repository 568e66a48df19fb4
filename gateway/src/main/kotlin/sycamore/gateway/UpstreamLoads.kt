package sycamore.gateway

import sycamore.model.PlaceName
import sycamore.routing.ListedUpstream
import sycamore.routing.UpstreamId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Tracks the calls and failures of this process at the plain upstreams, and chooses the upstream of a call. */
class UpstreamLoads(
    private val place: PlaceName,
    private val time: TimeSource = TimeSource.Monotonic,
) {
    private class UpstreamState {
        val running = AtomicInteger()

        @Volatile
        var avoidUntil: TimeMark? = null

        @Volatile
        var failures = 0
    }

    private val states = ConcurrentHashMap<UpstreamId, UpstreamState>()

    /** Chooses the best of [upstreams] for a call with [affinityKey]. Returns null if the list is empty. */
    fun choose(
        upstreams: List<ListedUpstream>,
        affinityKey: String?,
    ): ListedUpstream? = upstreams.minByOrNull { cost(it, affinityKey) }

    private fun cost(
        upstream: ListedUpstream,
        affinityKey: String?,
    ): Double {
        val state = states[upstream.id]
        val load = (state?.running?.get() ?: 0).toDouble() / upstream.slots
        val distance = if (upstream.place == place) 0.0 else OTHER_PLACE_COST
        val avoided = if (state?.avoidUntil?.hasNotPassedNow() == true) AVOIDED_COST else 0.0
        return load + distance + avoided + affinityCost(upstream, affinityKey)
    }

    /**
     * A cost that prefers the same upstream for the same [affinityKey]. Without a key, it selects randomly among
     * equals.
     */
    private fun affinityCost(
        upstream: ListedUpstream,
        affinityKey: String?,
    ): Double {
        if (affinityKey == null) return Math.random() * MAX_TIE_BREAK_COST
        val hash = (affinityKey + upstream.id.value).hashCode() * HASH_MULTIPLIER
        return (hash ushr HASH_SHIFT).toDouble() / HASH_RANGE * MAX_AFFINITY_COST
    }

    /** Records that a call is sent to [upstream]. */
    fun recordStart(upstream: ListedUpstream) {
        state(upstream).running.incrementAndGet()
    }

    /**
     * Records the end of a call at [upstream]. The upstream is avoided for a while if the call was not successful: the
     * upstream failed or could not be reached.
     */
    fun recordEnd(
        upstream: ListedUpstream,
        isSuccessful: Boolean,
    ) {
        val state = state(upstream)
        state.running.decrementAndGet()
        if (isSuccessful) {
            state.failures = 0
        } else {
            state.failures++
            state.avoidUntil = time.markNow() + minOf(FAILURE_PAUSE_STEP * state.failures, MAX_FAILURE_PAUSE)
        }
    }

    /** Records that [upstream] is full. */
    fun recordFull(upstream: ListedUpstream) {
        state(upstream).avoidUntil = time.markNow() + FULL_PAUSE
    }

    private fun state(upstream: ListedUpstream): UpstreamState = states.getOrPut(upstream.id) { UpstreamState() }

    private companion object {
        /** Upstreams of other places are chosen once those of this place are busier by this share of their slots. */
        const val OTHER_PLACE_COST = 0.7

        /** Above the usual sum of the other costs, so that an avoided upstream is chosen only if all are avoided. */
        const val AVOIDED_COST = 10.0

        /** Small, so that it decides only among upstreams of nearly equal cost. */
        const val MAX_TIE_BREAK_COST = 0.01

        /** The most that the affinity key adds to the cost of an upstream, as a share of its slots. */
        const val MAX_AFFINITY_COST = 0.5

        /** 2^32 divided by the golden ratio, as a signed integer, which spreads similar hash codes (Fibonacci hashing). */
        const val HASH_MULTIPLIER = -0x61c88647
        const val HASH_SHIFT = 8

        /** The number of values that remain after the shift: 2^24. */
        const val HASH_RANGE = 16_777_216.0
        val FAILURE_PAUSE_STEP: Duration = 500.milliseconds
        val MAX_FAILURE_PAUSE: Duration = 3.seconds
        val FULL_PAUSE: Duration = 100.milliseconds
    }
}
