package sycamore.bench.history

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class HistoryRunTest {
    private fun violations(
        seed: Long,
        kinds: List<FaultKind>,
        length: Duration = 60.seconds,
    ): List<String> {
        val result = HistoryRun(seed, length, kinds).run()
        return check(result.history).map { "$it" } + result.failures.map { it.stackTraceToString() }
    }

    @Test
    fun `promises hold under all faults`() {
        (1L..3L).forEach { assertEquals(emptyList(), violations(it, FaultKind.entries)) }
    }

    @Test
    fun `promises hold when daemons are only stopped in the planned way`() {
        (1L..3L).forEach { assertEquals(emptyList(), violations(it, FaultKind.entries.filter(FaultKind::isPlanned))) }
    }

    /** Found a host that acknowledged evictions before it had a configuration. */
    @Test
    fun `caches are evicted beside hosts that have just started`() {
        assertEquals(emptyList(), violations(2, FaultKind.entries, 120.seconds))
    }

    /** Found a takeover that was claimed, could not ask the retainers, and was not finished. */
    @Test
    fun `a claimed takeover is finished`() {
        assertEquals(emptyList(), violations(8, FaultKind.entries, 120.seconds))
    }
}
