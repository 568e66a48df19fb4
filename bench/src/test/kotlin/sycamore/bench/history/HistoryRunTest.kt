package sycamore.bench.history

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class HistoryRunTest {
    private fun violations(
        seed: Long,
        kinds: List<FaultKind>,
    ): List<String> {
        val result = HistoryRun(seed, 60.seconds, kinds).run()
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
}
