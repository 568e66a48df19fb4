package sycamore.daemon.log

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.LoggingEvent
import org.slf4j.event.KeyValuePair
import java.time.Instant
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Passes log lines to the thread that writes them and omits excess lines, so that logging calls never block.
 *
 * Lines below the level of a warning are omitted beyond [linesPerSecond]. Those with the marker
 * [LogMarkers.exceptional] have [exceptionalLinesPerSecond] more, which no other line can use up. Any line is omitted
 * while the queue is full, as when the writing thread is blocked. The first line of a second in which there is room again
 * is preceded by an event with the number of lines omitted since the last such event.
 */
class RateLimitedAppender : AsyncAppender() {
    private val second = AtomicLong()
    private val linesInSecond = AtomicInteger()
    private val exceptionalLinesInSecond = AtomicInteger()
    private val unreportedLines = AtomicInteger()
    private val unreportedExceptionalLines = AtomicInteger()

    /** Upper bound of the lines per second, not counting warnings, errors and [exceptionalLinesPerSecond]. */
    var linesPerSecond: Int = DEFAULT_LINES_PER_SECOND

    /** The number of lines per second that only exceptional lines can use. They use it before [linesPerSecond]. */
    var exceptionalLinesPerSecond: Int = DEFAULT_EXCEPTIONAL_LINES_PER_SECOND

    init {
        isNeverBlock = true
        discardingThreshold = 0
        queueSize = MAX_QUEUED_LINES
    }

    override fun append(event: ILoggingEvent) {
        val isExceptional = event.markerList.orEmpty().any { it.name == LogMarkers.EXCEPTIONAL }
        if (beginsSecond(event)) reportOmittedLines(event)
        if (remainingCapacity == 0 || exceedsRate(event, isExceptional)) {
            countOmitted(isExceptional)
        } else {
            super.append(event)
        }
    }

    /** Whether [event] is the first one of its second. Lines of several threads may arrive out of order. */
    private fun beginsSecond(event: ILoggingEvent): Boolean {
        val now = event.timeStamp / MILLIS_PER_SECOND
        val current = second.get()
        if (now == current || now == current - 1 || !second.compareAndSet(current, now)) return false
        linesInSecond.set(0)
        exceptionalLinesInSecond.set(0)
        return true
    }

    private fun exceedsRate(
        event: ILoggingEvent,
        isExceptional: Boolean,
    ): Boolean {
        if (event.level.isGreaterOrEqual(Level.WARN)) return false
        if (isExceptional && exceptionalLinesInSecond.incrementAndGet() <= exceptionalLinesPerSecond) return false
        return linesInSecond.incrementAndGet() > linesPerSecond
    }

    private fun countOmitted(isExceptional: Boolean) {
        unreportedLines.incrementAndGet()
        if (isExceptional) unreportedExceptionalLines.incrementAndGet()
        (if (isExceptional) exceptionalCount else ordinaryCount).incrementAndGet()
    }

    private fun reportOmittedLines(next: ILoggingEvent) {
        if (unreportedLines.get() == 0 || remainingCapacity == 0) return
        val logger = (context as LoggerContext).getLogger(RateLimitedAppender::class.java)
        val report = LoggingEvent(RateLimitedAppender::class.java.name, logger, Level.WARN, OMITTED_EVENT, null, null)
        report.setInstant(Instant.ofEpochMilli(next.timeStamp))
        report.addKeyValuePair(KeyValuePair("lines", unreportedLines.getAndSet(0)))
        report.addKeyValuePair(KeyValuePair("exceptional", unreportedExceptionalLines.getAndSet(0)))
        super.append(report)
    }

    companion object {
        private const val MILLIS_PER_SECOND = 1000L
        private const val OMITTED_EVENT = "log-lines-omitted"

        /** Three times the requests per second that one daemon serves under heavy load. */
        private const val DEFAULT_LINES_PER_SECOND = 300

        /** Twice the requests per second that one daemon serves under heavy load. */
        private const val DEFAULT_EXCEPTIONAL_LINES_PER_SECOND = 200

        /** Upper bound of the queued lines, about half a MiB. */
        private const val MAX_QUEUED_LINES = 1024

        private val ordinaryCount = AtomicLong()
        private val exceptionalCount = AtomicLong()

        /** The number of lines omitted since the start of the process that were not exceptional. */
        val omittedLines: Long get() = ordinaryCount.get()

        /** The number of exceptional lines omitted since the start of the process. */
        val omittedExceptionalLines: Long get() = exceptionalCount.get()
    }
}
