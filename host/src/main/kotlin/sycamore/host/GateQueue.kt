package sycamore.host

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.decisions.Admission
import sycamore.decisions.GateDecision
import sycamore.decisions.GateLoad
import sycamore.decisions.OverloadDecision
import sycamore.decisions.OverloadPolicy
import sycamore.decisions.QueueOrder
import sycamore.decisions.Residency
import sycamore.decisions.Retention
import sycamore.decisions.ServedCall
import sycamore.decisions.Speed
import sycamore.decisions.UpstreamLimits
import sycamore.decisions.UpstreamState
import sycamore.decisions.WaitingCall
import sycamore.model.CallId
import sycamore.model.CallerName
import sycamore.model.HostName
import sycamore.model.PlaceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * What a gate decides by.
 *
 * @property evict asks the upstream to drop a program's cache; it must not block.
 * @property decided is told each decision, under the gate's lock.
 */
data class GateRules(
    val limits: UpstreamLimits,
    val order: QueueOrder = QueueOrder(),
    val overload: OverloadPolicy = OverloadPolicy(),
    val evict: (program: String) -> Unit = {},
    val decided: (GateDecision) -> Unit = {},
)

/**
 * The queue before one upstream: holds calls back until the upstream has room, and lets them go in the order that
 * [GateRules] give. All state is under one lock; nothing is awaited under it.
 */
class GateQueue(
    private val rules: GateRules,
    time: TimeSource,
) {
    private class Waiter(
        val call: QueuedCall,
        val waiting: WaitingCall,
    ) {
        val granted = CompletableDeferred<Ticket>()
    }

    private val start = time.markNow()
    private val lock = Any()
    private val waiters = LinkedHashMap<CallId, Waiter>()
    private val programs = GatePrograms { limits.memoryTokens }
    private val served = CallerShares()

    /** What the upstream can take. */
    @Volatile
    var limits: UpstreamLimits = rules.limits
        private set

    private var queuedWork = Duration.ZERO
    private var running = 0
    private var speed = Speed.DEFAULT

    private val now: Duration get() = start.elapsedNow()

    /** Waits until [call] may go to the upstream, or until it is given up. */
    suspend fun admit(call: QueuedCall): Turn {
        val waiter =
            synchronized(lock) {
                val joining = join(call)
                if (joining is OverloadDecision.Shed) return refused(call, joining)
                enqueue(call).also { dispatch() }
            }
        var ticket: Ticket? = null
        try {
            ticket = withTimeoutOrNull(call.timeLeft) { waiter.granted.await() } ?: leave(waiter)
        } finally {
            if (ticket == null) leave(waiter)?.close(null)
        }
        return if (ticket != null) Turn.Granted(ticket) else refused(call, tooLate(call))
    }

    private fun join(call: QueuedCall): OverloadDecision =
        rules.overload.decide(call.isNew, waiters.size, expectedWait(), call.timeLeft)

    private fun enqueue(call: QueuedCall): Waiter {
        val now = now
        val isResident = programs.isResident(call)
        val output = speed.expectedOutput(call.maxOutputTokens)
        val missing = (call.promptTokens - programs.residency.tokensOf(call.program)).coerceAtLeast(0)
        val waiting =
            WaitingCall(
                id = call.id,
                program = call.root,
                caller = call.caller,
                attained = programs.attained(call.root),
                isResident = isResident,
                since = now,
                deadline = now + call.timeLeft,
                isNew = call.isNew,
                tokens = call.promptTokens + output,
                work = speed.work(missing, output, limits.capacity),
            )
        queuedWork += waiting.work
        return Waiter(call, waiting).also { waiters[call.id] = it }
    }

    /** Takes [waiter] out of the queue; returns its ticket when it was granted one in the meantime. */
    private fun leave(waiter: Waiter): Ticket? =
        synchronized(lock) {
            if (waiters.remove(waiter.call.id, waiter)) queuedWork -= waiter.waiting.work
            if (waiter.granted.isCompleted) waiter.granted.getCompleted() else null
        }

    private fun dispatch() {
        while (true) {
            val next = next() ?: return
            send(waiters.remove(next.id)!!)
        }
    }

    /** The call to send now. While the first in order waits for memory, those that are cached go ahead of it. */
    private fun next(): WaitingCall? {
        if (waiters.isEmpty() || running >= limits.capacity) return null
        val waiting = waiters.values.map { it.waiting }
        val first = rules.order.next(waiting, served.recent(now), now) ?: return null
        if (isAdmitted(first)) return first
        val cached = rules.order.next(waiting.filter { it.isResident }, served.recent(now), now) ?: return null
        return cached.takeIf { isAdmitted(it) }
    }

    private fun isAdmitted(call: WaitingCall): Boolean {
        val held = if (call.isResident || fitsBesideAll(call)) 0L else heldTokens(call)
        return limits.admit(call, GateLoad(running, programs.runningTokens, held)) is Admission.Admit
    }

    private fun fitsBesideAll(call: WaitingCall): Boolean =
        programs.runningTokens + programs.idleTokens() + call.tokens <= limits.memoryTokens

    private fun heldTokens(call: WaitingCall): Long {
        if (limits.memoryTokens == 0L) return 0
        val limit =
            Retention.holdLimit(
                speed.prefillPerToken,
                limits.memoryTokens,
                running,
                limits.capacity,
                now - call.since,
            )
        return programs.heldTokens(limit, now)
    }

    private fun send(waiter: Waiter) {
        val call = waiter.call
        val now = now
        queuedWork -= waiter.waiting.work
        val waiting = waiter.waiting
        programs.makeRoomFor(call, waiting.tokens, now).forEach { evict(it.program, it.tokens, "memory is needed") }
        programs.begin(call, waiting.tokens, now)
        running++
        val level = rules.order.level(waiting.attained)
        rules.decided(
            GateDecision.Sent(call.program, call.id, now - waiting.since, level, waiting.isResident, running),
        )
        waiter.granted.complete(Ticket { served, tool -> finish(waiter, served, tool) })
    }

    private fun finish(
        waiter: Waiter,
        result: ServedCall?,
        tool: String?,
    ) = synchronized(lock) {
        val call = waiter.call
        running--
        val work =
            result?.let { speed.work(it.computedTokens, it.outputTokens, limits.capacity) } ?: Duration.ZERO
        programs.finish(call, waiter.waiting.tokens, work, tool, now)
        served.add(call.caller, work, now)
        if (result != null) {
            speed = speed.observed(result)
            programs.cached(call.program, call.promptTokens + result.outputTokens)
        }
        dispatch()
    }

    /** Gives up all that is kept for [program], which has ended. */
    fun end(program: String) =
        synchronized(lock) {
            val tokens = programs.end(program)
            if (tokens > 0) evict(program, tokens, "the program ended")
            programs.residency = programs.residency.afterEviction(program)
        }

    private fun evict(
        program: String,
        tokens: Long,
        reason: String,
    ) {
        rules.decided(GateDecision.Evicted(program, tokens, reason))
        rules.evict(program)
    }

    /** The upstream has other limits from now on. */
    fun update(changed: UpstreamLimits) =
        synchronized(lock) {
            limits = changed
            dispatch()
        }

    /** What is known of the upstream's cache. */
    val residency: Residency get() = synchronized(lock) { programs.residency }

    /** Takes over what is known of the cache by [change]. */
    fun updateResidency(change: (Residency) -> Residency) =
        synchronized(lock) { programs.residency = change(programs.residency) }

    /** Tokens of [program] in the upstream's cache, as far as is known. */
    fun residentTokens(program: String): Long = synchronized(lock) { programs.residency.tokensOf(program) }

    /** The upstream as placement sees it. */
    fun state(
        host: HostName,
        place: PlaceName,
    ): UpstreamState =
        synchronized(lock) {
            UpstreamState(
                host = host,
                place = place,
                capacity = limits.capacity,
                running = running,
                queued = waiters.size,
                wait = expectedWait(),
                tokenTime = speed.tokenTime,
                prefillPerToken = speed.prefillPerToken,
                memoryTokens = limits.memoryTokens,
                committedTokens = programs.committedTokens,
            )
        }

    private fun expectedWait(): Duration {
        if (running < limits.capacity && waiters.isEmpty()) return Duration.ZERO
        return queuedWork + speed.callTime / limits.capacity
    }

    private fun refused(
        call: QueuedCall,
        shed: OverloadDecision.Shed,
    ): Turn {
        rules.decided(GateDecision.Refused(call.program, call.id, shed.reason))
        return Turn.Refused(shed)
    }

    private fun tooLate(call: QueuedCall) =
        OverloadDecision.Shed("expected room within ${call.timeLeft}, found none", RETRY_AFTER_DEADLINE)

    private companion object {
        val RETRY_AFTER_DEADLINE = 5.seconds
    }
}

/** Recent service of each caller, which loses half its weight every [HALF_LIFE]. */
internal class CallerShares {
    private var shares = HashMap<CallerName, Duration>()
    private var halvedAt = Duration.ZERO

    /** The shares at [now]. */
    fun recent(now: Duration): Map<CallerName, Duration> {
        if (now - halvedAt >= HALF_LIFE) {
            shares.replaceAll { _, share -> share / 2 }
            shares.values.removeIf { it < FORGOTTEN }
            halvedAt = now
        }
        return shares
    }

    fun add(
        caller: CallerName,
        work: Duration,
        now: Duration,
    ) {
        recent(now)
        shares.merge(caller, work, Duration::plus)
    }

    private companion object {
        val HALF_LIFE = 30.seconds
        val FORGOTTEN = 0.001.seconds
    }
}
