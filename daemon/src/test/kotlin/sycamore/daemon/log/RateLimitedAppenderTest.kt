package sycamore.daemon.log

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.LoggingEvent
import ch.qos.logback.classic.util.LogbackMDCAdapter
import ch.qos.logback.core.AppenderBase
import org.slf4j.MarkerFactory
import java.time.Instant
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.test.Test
import kotlin.test.assertEquals

/** The events have the times that the tests give them. */
class RateLimitedAppenderTest {
    private val context = LoggerContext().apply { mdcAdapter = LogbackMDCAdapter() }
    private val written = CopyOnWriteArrayList<ILoggingEvent>()
    private val writing = ReentrantLock().apply { lock() }
    private val appender =
        RateLimitedAppender().also {
            it.context = context
            it.linesPerSecond = LINES_PER_SECOND
            it.exceptionalLinesPerSecond = EXCEPTIONAL_LINES_PER_SECOND
            it.addAppender(collector())
            it.start()
        }

    /** Guards against a refused call whose line is omitted in favour of those of calls that went well. */
    @Test
    fun `exceptional lines are written after ordinary ones have used up their rate`() {
        repeat(100) { append("ordinary") }
        repeat(2) { append("exceptional", isExceptional = true) }
        assertEquals(mapOf("ordinary" to LINES_PER_SECOND, "exceptional" to 2), written())
    }

    @Test
    fun `exceptional lines use what ordinary ones leave, and no more`() {
        repeat(100) { append("exceptional", isExceptional = true) }
        repeat(100) { append("ordinary") }
        assertEquals(mapOf("exceptional" to LINES_PER_SECOND + EXCEPTIONAL_LINES_PER_SECOND), written())
    }

    @Test
    fun `warnings are not limited`() {
        repeat(100) { append("warning", level = Level.WARN) }
        assertEquals(mapOf("warning" to 100), written())
    }

    /** Guards against lines that are missing without a trace. */
    @Test
    fun `the number of omitted lines is written once in the next second`() {
        repeat(100) { append("ordinary") }
        repeat(100) { append("exceptional", isExceptional = true) }
        append("next", atMillis = 1_500)
        append("next", atMillis = 1_999)
        append("later", atMillis = 2_000)
        written()
        val reports = written.filter { it.message == "log-lines-omitted" }
        val expected = mapOf("lines" to 200 - LINES_PER_SECOND - EXCEPTIONAL_LINES_PER_SECOND, "exceptional" to 97)
        assertEquals(listOf(expected), reports.map { report -> report.keyValuePairs.associate { it.key to it.value } })
    }

    /** Guards against a rate that starts again with each change between two threads on either side of a second. */
    @Test
    fun `lines of the previous second that arrive late start no new second`() {
        repeat(100) { append("ordinary", atMillis = if (it % 2 == 0) 1_000 else 999) }
        assertEquals(mapOf("ordinary" to LINES_PER_SECOND), written())
    }

    /** Guards against an appender that blocks its callers, or omits everything after that. */
    @Test
    fun `lines are omitted while the writer is blocked`() {
        repeat(5_000) { append("warning", level = Level.WARN) }
        val before = RateLimitedAppender.omittedLines
        append("ordinary", atMillis = 3_000)
        assertEquals(before + 1, RateLimitedAppender.omittedLines)
    }

    /** Lets the writer go on, and returns the number of lines with each message. */
    private fun written(): Map<String, Int> {
        writing.unlock()
        appender.stop()
        return written.map { it.message }.groupingBy { it }.eachCount()
    }

    private fun append(
        message: String,
        level: Level = Level.INFO,
        atMillis: Long = 0,
        isExceptional: Boolean = false,
    ) {
        val event = LoggingEvent("test", context.getLogger("sycamore.Test"), level, message, null, null)
        event.setInstant(Instant.ofEpochMilli(START_MILLIS + atMillis))
        if (isExceptional) event.addMarker(MarkerFactory.getMarker(LogMarkers.EXCEPTIONAL))
        appender.doAppend(event)
    }

    private fun collector() =
        object : AppenderBase<ILoggingEvent>() {
            override fun append(event: ILoggingEvent) {
                writing.withLock { written += event }
            }
        }.also {
            it.context = context
            it.start()
        }

    private companion object {
        const val LINES_PER_SECOND = 10
        const val EXCEPTIONAL_LINES_PER_SECOND = 3
        const val START_MILLIS = 1_000_000L
    }
}
