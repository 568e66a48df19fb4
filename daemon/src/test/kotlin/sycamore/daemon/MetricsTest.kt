package sycamore.daemon

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MetricsTest {
    /**
     * Guards against loading the classes of the JVM meters at each start of a daemon, which takes processor time even
     * if the metrics are never read.
     */
    @Test
    fun `meters of the JVM are registered by the first scrape`() {
        val metrics = Metrics()
        assertEquals(emptyList(), metrics.registry.meters)
        val text = metrics.scrape()
        listOf("jvm_memory_used_bytes", "process_uptime_seconds", "sycamore_log_lines_omitted_total").forEach {
            assertTrue("\n$it" in text, it)
        }
        assertEquals(seriesIn(text), seriesIn(metrics.scrape()))
    }

    /** The series in [text] without those that a garbage collection registers, which may occur between two scrapes. */
    private fun seriesIn(text: String): List<String> =
        text
            .lines()
            .filterNot { "jvm_gc_pause" in it || "jvm_gc_concurrent_phase" in it }
            .map { it.substringBeforeLast(' ') }
}
