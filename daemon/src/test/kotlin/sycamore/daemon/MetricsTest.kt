package sycamore.daemon

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MetricsTest {
    /** Their classes took processor time from each start of a daemon, whether anyone read them or not (SHORT). */
    @Test
    fun `meters of the JVM begin when they are first read`() {
        val metrics = Metrics()
        assertEquals(emptyList(), metrics.registry.meters)
        val text = metrics.scrape()
        listOf("jvm_memory_used_bytes", "process_uptime_seconds", "sycamore_log_lines_omitted_total").forEach {
            assertTrue("\n$it" in text, it)
        }
        assertEquals(text.lines().size, metrics.scrape().lines().size)
    }
}
