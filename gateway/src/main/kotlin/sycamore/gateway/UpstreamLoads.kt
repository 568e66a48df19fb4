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

/** What this process has seen of the plain upstreams, and which of them a call goes to. */
class UpstreamLoads(
    private val place: PlaceName,
    private val time: TimeSource = TimeSource.Monotonic,
) {
    private class Seen {
        val running = AtomicInteger()

        @Volatile
        var avoidUntil: TimeMark? = null

        @Volatile
        var failures = 0
    }

    private val seen = ConcurrentHashMap<UpstreamId, Seen>()

    /** The best of [upstreams] for a call about [subject]; null when there is none. */
    fun choose(
        upstreams: List<ListedUpstream>,
        subject: String?,
    ): ListedUpstream? = upstreams.minByOrNull { cost(it, subject) }

    private fun cost(
        upstream: ListedUpstream,
        subject: String?,
    ): Double {
        val state = seen[upstream.id]
        val load = (state?.running?.get() ?: 0).toDouble() / upstream.slots
        val distance = if (upstream.place == place) 0.0 else FAR
        val avoided = if (state?.avoidUntil?.hasNotPassedNow() == true) AVOIDED else 0.0
        return load + distance + avoided + spread(upstream, subject)
    }

    /** Prefers the same upstream for the same subject, or any one of equals. */
    private fun spread(
        upstream: ListedUpstream,
        subject: String?,
    ): Double {
        if (subject == null) return Math.random() * TIE
        val hash = (subject + upstream.id.value).hashCode() * HASH_MULTIPLIER
        return (hash ushr HASH_SHIFT).toDouble() / HASH_RANGE * AFFINITY
    }

    /** A call goes to [upstream]. */
    fun begin(upstream: ListedUpstream) {
        state(upstream).running.incrementAndGet()
    }

    /** A call at [upstream] has ended; [isSound] is false when the upstream broke off or was not reached. */
    fun end(
        upstream: ListedUpstream,
        isSound: Boolean,
    ) {
        val state = state(upstream)
        state.running.decrementAndGet()
        if (isSound) {
            state.failures = 0
        } else {
            state.failures++
            state.avoidUntil = time.markNow() + minOf(FIRST_PAUSE * state.failures, LONGEST_PAUSE)
        }
    }

    /** [upstream] is full now. */
    fun full(upstream: ListedUpstream) {
        state(upstream).avoidUntil = time.markNow() + FULL_PAUSE
    }

    private fun state(upstream: ListedUpstream): Seen = seen.getOrPut(upstream.id) { Seen() }

    private companion object {
        /** A call crosses a region once this place's upstreams are this much fuller, as a share of their slots. */
        const val FAR = 0.7
        const val AVOIDED = 10.0
        const val TIE = 0.01

        /** An upstream that handled the subject lately is worth this share of its slots. */
        const val AFFINITY = 0.5
        const val HASH_MULTIPLIER = -0x61c88647
        const val HASH_SHIFT = 8
        const val HASH_RANGE = 16_777_216.0
        val FIRST_PAUSE: Duration = 500.milliseconds
        val LONGEST_PAUSE: Duration = 3.seconds
        val FULL_PAUSE: Duration = 100.milliseconds
    }
}
