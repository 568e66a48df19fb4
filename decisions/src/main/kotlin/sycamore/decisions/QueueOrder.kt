package sycamore.decisions

import sycamore.model.CallId
import sycamore.model.CallerName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A call that waits at a gate.
 *
 * @property program the root of the program that it belongs to; sub-agents wait under their root.
 * @property attained service that the program has had at this upstream.
 * @property isResident whether the upstream's cache holds most of the prompt.
 * @property since when the call came, by the gate's clock.
 * @property deadline when the caller gives up, by the same clock.
 * @property isNew whether it is the program's first call.
 * @property tokens of memory that the call needs.
 * @property work time of the upstream that it takes away from the others.
 */
data class WaitingCall(
    val id: CallId,
    val program: String,
    val caller: CallerName,
    val attained: Duration,
    val isResident: Boolean,
    val since: Duration,
    val deadline: Duration,
    val isNew: Boolean,
    val tokens: Long,
    val work: Duration,
)

/**
 * Which waiting call is next: least attained service by program, in discrete levels with ageing. At one level resident
 * programs come before cold ones, then the caller with the least recent service, then the call that came first.
 *
 * @property first attained service up to which a program is at level 0.
 * @property factor how much more service each further level spans.
 * @property levels how many levels there are.
 * @property ageing time of waiting that raises a call by one level.
 */
data class QueueOrder(
    val first: Duration = 500.milliseconds,
    val factor: Double = 3.0,
    val levels: Int = 8,
    val ageing: Duration = 10.seconds,
) {
    /** The level of a program that has had [attained] service; 0 goes first. */
    fun level(attained: Duration): Int {
        var level = 0
        var limit = first
        while (attained > limit && level < levels - 1) {
            limit *= factor
            level++
        }
        return level
    }

    /** The next of [waiting] at [now], or null when there is none. [served] is the callers' recent service. */
    fun next(
        waiting: Collection<WaitingCall>,
        served: Map<CallerName, Duration>,
        now: Duration,
    ): WaitingCall? = waiting.minWithOrNull { a, b -> compare(a, b, served, now) }

    private fun compare(
        a: WaitingCall,
        b: WaitingCall,
        served: Map<CallerName, Duration>,
        now: Duration,
    ): Int {
        val byLevel = agedLevel(a, now).compareTo(agedLevel(b, now))
        if (byLevel != 0) return byLevel
        val byResidence = b.isResident.compareTo(a.isResident)
        if (byResidence != 0) return byResidence
        val byCaller = share(a, served).compareTo(share(b, served))
        return if (byCaller != 0) byCaller else a.since.compareTo(b.since)
    }

    private fun agedLevel(
        call: WaitingCall,
        now: Duration,
    ): Int = level(call.attained) - ((now - call.since) / ageing).toInt()

    private fun share(
        call: WaitingCall,
        served: Map<CallerName, Duration>,
    ): Duration = served[call.caller] ?: Duration.ZERO
}
