package sycamore.decisions

import sycamore.model.CallId
import sycamore.model.CallerName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against an unfair queue, in which long programs or busy callers delay short ones or some calls wait forever,
 * and against programs that evict each other's caches in turn because too many calls are admitted.
 */
class QueueOrderTest {
    private val order = QueueOrder(firstLevelLimit = 1.seconds, factor = 2.0, levels = 4, ageing = 10.seconds)

    private fun call(
        id: String,
        attained: Duration = Duration.ZERO,
        isResident: Boolean = false,
        caller: String = "x",
        since: Duration = Duration.ZERO,
        tokens: Long = 100,
    ) = WaitingCall(
        CallId(id),
        id,
        CallerName(caller),
        attained,
        isResident,
        since,
        Duration.INFINITE,
        isNew = false,
        tokens,
        100.milliseconds,
    )

    private fun next(
        vararg calls: WaitingCall,
        served: Map<CallerName, Duration> = emptyMap(),
        now: Duration = 1.seconds,
    ) = order.next(calls.toList(), served, now)?.id?.value

    @Test
    fun `the limits of the levels grow by the factor up to the last level`() =
        assertEquals(listOf(0, 1, 2, 3, 3), listOf(1, 2, 4, 8, 99).map { order.level(it.seconds) })

    @Test
    fun `the program with the least attained service goes first`() =
        assertEquals("b", next(call("a", 3.seconds), call("b", 1.seconds)))

    @Test
    fun `at one level a cached program goes before a cold one`() =
        assertEquals("b", next(call("a"), call("b", isResident = true)))

    @Test
    fun `at one level the caller with less recent service goes first`() {
        val served = mapOf(CallerName("busy") to 9.seconds)
        assertEquals("b", next(call("a", caller = "busy"), call("b", caller = "idle"), served = served))
    }

    @Test
    fun `a call that waits long enough overtakes every level`() {
        val old = call("old", attained = 99.seconds)
        assertEquals("old", next(old, call("new", since = 41.seconds), now = 41.seconds))
    }

    @Test
    fun `a call without a cached prompt does not evict programs that are expected back`() {
        val limits = UpstreamLimits(capacity = 4, memoryTokens = 1_000)
        val load = GateLoad(running = 1, runningTokens = 500, heldTokens = 450)
        val held = assertIs<Admission.Hold>(limits.admit(call("cold"), load))
        assertEquals("expected at most 1000 tokens, found 1050", held.reason)
        assertIs<Admission.Admit>(limits.admit(call("cached", isResident = true), load))
        assertIs<Admission.Admit>(limits.admit(call("cold"), load.copy(running = 0)))
        assertIs<Admission.Hold>(limits.admit(call("cached", isResident = true), load.copy(running = 4)))
    }
}
