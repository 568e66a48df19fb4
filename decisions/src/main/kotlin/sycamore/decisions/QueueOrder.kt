package sycamore.decisions

import sycamore.model.CallId
import sycamore.model.CallerName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A call that waits at a gate.
 *
 * @property program root program that the call belongs to; calls of sub-agents count as calls of their root.
 * @property attained service time that the program has had at this upstream.
 * @property isResident whether the upstream's cache holds most of the prompt.
 * @property since time of the call's arrival, by the gate's clock.
 * @property deadline time until which the caller waits for the answer, by the same clock.
 * @property isNew whether this is the program's first call.
 * @property tokens number of tokens that the call needs in memory.
 * @property work time of the upstream that the call takes away from other calls.
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
 * Order in which waiting calls are sent: least attained service by program, in discrete levels with ageing. Within a
 * level programs with a cached prompt come first, then callers with the least recent service, then calls that arrived
 * first.
 *
 * @property firstLevelLimit attained service up to which a program is at level 0.
 * @property factor ratio between the limits of two successive levels.
 * @property levels number of levels.
 * @property ageing waiting time that raises a call by one level.
 */
data class QueueOrder(
    val firstLevelLimit: Duration = 500.milliseconds,
    val factor: Double = 3.0,
    val levels: Int = 8,
    val ageing: Duration = 10.seconds,
) {
    /** The level of a program that has had [attained] service; level 0 is served first. */
    fun level(attained: Duration): Int {
        var level = 0
        var limit = firstLevelLimit
        while (attained > limit && level < levels - 1) {
            limit *= factor
            level++
        }
        return level
    }

    /**
     * The next of the [waiting] calls at [now], or null when there is none. [served] is the recent service of each
     * caller.
     */
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
        val byCaller = callerService(a, served).compareTo(callerService(b, served))
        return if (byCaller != 0) byCaller else a.since.compareTo(b.since)
    }

    private fun agedLevel(
        call: WaitingCall,
        now: Duration,
    ): Int = level(call.attained) - ((now - call.since) / ageing).toInt()

    private fun callerService(
        call: WaitingCall,
        served: Map<CallerName, Duration>,
    ): Duration = served[call.caller] ?: Duration.ZERO
}
