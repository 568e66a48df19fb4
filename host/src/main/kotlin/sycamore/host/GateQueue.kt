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
 * The rules by which a gate decides on calls.
 *
 * @property limits the initial limits of the upstream.
 * @property order the order in which waiting calls are sent.
 * @property overload the policy for refusing calls under overload.
 * @property evict the function that requests the upstream to evict a program's cache; it must not block.
 * @property onDecision the listener for each decision; it is called under the lock of the gate.
 */
data class GateRules(
    val limits: UpstreamLimits,
    val order: QueueOrder = QueueOrder(),
    val overload: OverloadPolicy = OverloadPolicy(),
    val evict: (program: String) -> Unit = {},
    val onDecision: (GateDecision) -> Unit = {},
)

/**
 * The queue in front of one upstream: delays calls until the upstream has capacity, and sends them in the order that
 * [GateRules] define. All state is guarded by one lock, and no coroutine suspends while it holds that lock.
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
    private val shares = CallerShares()

    /** The limits of the upstream. */
    @Volatile
    var limits: UpstreamLimits = rules.limits
        private set

    private var queuedWork = Duration.ZERO
    private var running = 0
    private var speed = Speed.DEFAULT

    private val now: Duration get() = start.elapsedNow()

    /** Waits until [call] may be sent to the upstream. Refuses it under overload and when its deadline has passed. */
    suspend fun admit(call: QueuedCall): QueueResult {
        val waiter =
            synchronized(lock) {
                val decision = decideOverload(call)
                if (decision is OverloadDecision.Shed) return refused(call, decision)
                enqueue(call).also { dispatch() }
            }
        var ticket: Ticket? = null
        try {
            ticket = withTimeoutOrNull(call.timeLeft) { waiter.granted.await() } ?: leave(waiter)
        } finally {
            if (ticket == null) leave(waiter)?.close(null)
        }
        return if (ticket != null) QueueResult.Granted(ticket) else refused(call, deadlinePassed(call))
    }

    private fun decideOverload(call: QueuedCall): OverloadDecision =
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

    /** Removes [waiter] from the queue. Returns its ticket if it was granted one in the meantime. */
    private fun leave(waiter: Waiter): Ticket? =
        synchronized(lock) {
            if (waiters.remove(waiter.call.id, waiter)) queuedWork -= waiter.waiting.work
            if (waiter.granted.isCompleted) waiter.granted.getCompleted() else null
        }

    private fun dispatch() {
        while (true) {
            val next = next() ?: return
            grant(waiters.remove(next.id)!!)
        }
    }

    /**
     * Returns the call to send now, or null if none can be sent. While the first in order waits for memory, calls with
     * a cached prompt may be sent before it.
     */
    private fun next(): WaitingCall? {
        if (waiters.isEmpty() || running >= limits.capacity) return null
        val waiting = waiters.values.map { it.waiting }
        val first = rules.order.next(waiting, shares.recent(now), now) ?: return null
        if (isAdmitted(first)) return first
        val cached = rules.order.next(waiting.filter { it.isResident }, shares.recent(now), now) ?: return null
        return cached.takeIf { isAdmitted(it) }
    }

    private fun isAdmitted(call: WaitingCall): Boolean {
        val held = if (call.isResident || fitsWithoutEviction(call)) 0L else heldTokens(call)
        return limits.admit(call, GateLoad(running, programs.runningTokens, held)) is Admission.Admit
    }

    private fun fitsWithoutEviction(call: WaitingCall): Boolean =
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

    private fun grant(waiter: Waiter) {
        val call = waiter.call
        val now = now
        queuedWork -= waiter.waiting.work
        val waiting = waiter.waiting
        programs.makeRoomFor(call, waiting.tokens, now).forEach { evict(it.program, it.tokens, "memory is needed") }
        programs.begin(call, waiting.tokens, now)
        running++
        val level = rules.order.level(waiting.attained)
        rules.onDecision(
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
        shares.add(call.caller, work, now)
        if (result != null) {
            speed = speed.observed(result)
            programs.cached(call.program, call.promptTokens + result.outputTokens)
        }
        dispatch()
    }

    /** Removes the state and evicts the cache of [program], which has ended. */
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
        rules.onDecision(GateDecision.Evicted(program, tokens, reason))
        rules.evict(program)
    }

    /** Replaces the limits of the upstream by [newLimits] and sends the calls that these allow. */
    fun updateLimits(newLimits: UpstreamLimits) =
        synchronized(lock) {
            limits = newLimits
            dispatch()
        }

    /** The known content of the upstream's cache. */
    val residency: Residency get() = synchronized(lock) { programs.residency }

    /** Applies [change] to the known content of the cache. */
    fun updateResidency(change: (Residency) -> Residency) =
        synchronized(lock) { programs.residency = change(programs.residency) }

    /** Returns the tokens of [program] in the upstream's cache, as far as they are known. */
    fun residentTokens(program: String): Long = synchronized(lock) { programs.residency.tokensOf(program) }

    /** Returns the state of the upstream that placement decides by. */
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
    ): QueueResult {
        rules.onDecision(GateDecision.Refused(call.program, call.id, shed.reason))
        return QueueResult.Refused(shed)
    }

    private fun deadlinePassed(call: QueuedCall) =
        OverloadDecision.Shed("expected room within ${call.timeLeft}, found none", RETRY_AFTER_DEADLINE)

    private companion object {
        val RETRY_AFTER_DEADLINE = 5.seconds
    }
}

/** The recent service time of each caller; past service loses half its weight every [HALF_LIFE]. */
internal class CallerShares {
    private var shares = HashMap<CallerName, Duration>()
    private var halvedAt = Duration.ZERO

    /** Returns the shares at [now]. */
    fun recent(now: Duration): Map<CallerName, Duration> {
        if (now - halvedAt >= HALF_LIFE) {
            shares.replaceAll { _, share -> share / 2 }
            shares.values.removeIf { it < MIN_SHARE }
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
        val MIN_SHARE = 0.001.seconds
    }
}
