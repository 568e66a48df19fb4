package sycamore.gateway

import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Tags
import sycamore.decisions.pace.ConcurrencyLimit
import sycamore.decisions.pace.RouteTime
import sycamore.decisions.pace.UpstreamCost
import sycamore.decisions.pace.UpstreamPace
import sycamore.model.PlaceName
import sycamore.routing.ListedUpstream
import sycamore.routing.UpstreamId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Tracks the calls and failures of this process at the plain upstreams, and chooses the upstream of a call. */
class UpstreamLoads(
    private val place: PlaceName,
    private val time: TimeSource = TimeSource.Monotonic,
    private val registry: MeterRegistry? = null,
) {
    /** A call in progress that began as one of [running] calls of this process at its upstream. */
    class UpstreamUse internal constructor(
        internal val startedAt: TimeMark,
        internal val running: Int,
    )

    private class UpstreamState(
        pace: UpstreamPace,
    ) {
        val running = AtomicInteger()
        val pace = AtomicReference(pace)

        @Volatile
        var avoidUntil: TimeMark? = null

        @Volatile
        var failures = 0
    }

    private val start = time.markNow()
    private val states = ConcurrentHashMap<UpstreamId, UpstreamState>()
    private val routeTimes = ConcurrentHashMap<String, RouteTime>()

    /** Chooses the best of [upstreams] for a call with [affinityKey]. Returns null if the list is empty. */
    fun choose(
        upstreams: List<ListedUpstream>,
        affinityKey: String?,
    ): ListedUpstream? {
        val costs = UpstreamCost.among(upstreams.map { state(it).pace.get() }, start.elapsedNow())
        return upstreams.minByOrNull { cost(it, affinityKey, costs) }
    }

    /** What is known of [upstream], for the log. */
    fun describe(upstream: ListedUpstream): String {
        val state = state(upstream)
        val pace = state.pace.get()
        val expected = pace.expected(start.elapsedNow())
        return "${state.running.get()} running of ${rounded(
            pace.limit.limit,
        )}, ${rounded(pace.level)} times the usual time, " +
            "${rounded(expected)} at present"
    }

    private fun rounded(value: Double): Double = (value * PERCENT).roundToInt() / PERCENT

    /** Forgets the upstreams that are not among [registered] and run no call of this process, and removes their gauges. */
    fun retain(registered: Set<UpstreamId>) {
        val gone = states.filter { (id, state) -> id !in registered && state.running.get() == 0 }.keys
        states.keys.removeAll(gone)
        registry?.let { meters -> gone.forEach { id -> gaugesOf(meters, id).forEach(meters::remove) } }
    }

    private fun gaugesOf(
        meters: MeterRegistry,
        id: UpstreamId,
    ): List<Meter> = listOf(LEVEL, LIMIT).flatMap { meters.find(it).tag(UPSTREAM_TAG, id.value).meters() }

    private fun cost(
        upstream: ListedUpstream,
        affinityKey: String?,
        costs: UpstreamCost,
    ): Double {
        val state = state(upstream)
        val load = costs.of(state.running.get(), upstream.slots, state.pace.get())
        val distance = if (upstream.place == place) 0.0 else OTHER_PLACE_COST
        val avoided = if (state.avoidUntil?.hasNotPassedNow() == true) AVOIDED_COST else 0.0
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
    fun recordStart(upstream: ListedUpstream): UpstreamUse =
        UpstreamUse(time.markNow(), state(upstream).running.incrementAndGet())

    /**
     * Records the end of a call at [upstream]. The upstream is avoided for a while if the call was not successful: the
     * upstream failed or could not be reached.
     *
     * @param use the use of the upstream by a call of [route] whose duration shows its pace; null if it does not.
     */
    fun recordEnd(
        upstream: ListedUpstream,
        isSuccessful: Boolean,
        use: UpstreamUse? = null,
        route: String? = null,
    ) {
        val state = state(upstream)
        state.running.decrementAndGet()
        if (use != null && route != null) learn(state, use, route)
        if (isSuccessful) {
            state.failures = 0
        } else {
            state.failures++
            state.avoidUntil = time.markNow() + minOf(FAILURE_PAUSE_STEP * state.failures, MAX_FAILURE_PAUSE)
        }
    }

    /** Records that a call, whose start was recorded, was not sent to [upstream] or shows nothing of it. */
    fun recordWithdrawn(upstream: ListedUpstream) {
        state(upstream).running.decrementAndGet()
    }

    /** Records that [upstream] is full. */
    fun recordFull(upstream: ListedUpstream) {
        state(upstream).avoidUntil = time.markNow() + FULL_PAUSE
    }

    private fun learn(
        state: UpstreamState,
        use: UpstreamUse,
        route: String,
    ) {
        val took = use.startedAt.elapsedNow()
        val usual = routeTimes[route] ?: RouteTime()
        val pace = state.pace.updateAndGet { it.plus(usual.ratio(took), use.running, start.elapsedNow()) }
        routeTimes.compute(route) { _, last -> (last ?: usual).plus(took, pace.level) }
    }

    private fun state(upstream: ListedUpstream): UpstreamState =
        states.computeIfAbsent(upstream.id) {
            UpstreamState(
                UpstreamPace(ConcurrencyLimit(upstream.slots), start.elapsedNow()),
            ).also { register(it, upstream) }
        }

    private fun register(
        state: UpstreamState,
        upstream: ListedUpstream,
    ) {
        val tags = Tags.of("service", upstream.service.toString(), UPSTREAM_TAG, upstream.id.value)
        registry?.gauge(LEVEL, tags, state) { it.pace.get().level }
        registry?.gauge(LIMIT, tags, state) {
            it.pace
                .get()
                .limit.limit
        }
    }

    private companion object {
        const val LEVEL = "sycamore.upstream.pace.level"
        const val LIMIT = "sycamore.upstream.limit"
        const val UPSTREAM_TAG = "upstream"
        const val PERCENT = 100.0

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
