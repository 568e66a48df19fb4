package sycamore.daemon.log

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.spi.ILoggingEvent
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Passes log lines to the thread that writes them and omits excess lines, so that logging calls never block.
 *
 * Lines below the level of a warning are omitted beyond [linesPerSecond]; any line is omitted while the queue is full,
 * as when the writing thread is blocked.
 */
class RateLimitedAppender : AsyncAppender() {
    private val second = AtomicLong()
    private val linesInSecond = AtomicInteger()

    /** Upper bound of the lines per second, not counting warnings and errors. */
    var linesPerSecond: Int = DEFAULT_LINES_PER_SECOND

    init {
        isNeverBlock = true
        discardingThreshold = 0
        queueSize = MAX_QUEUED_LINES
    }

    override fun append(event: ILoggingEvent) {
        if (remainingCapacity == 0 || exceedsRate(event)) {
            omittedCount.incrementAndGet()
        } else {
            super.append(event)
        }
    }

    private fun exceedsRate(event: ILoggingEvent): Boolean {
        if (event.level.isGreaterOrEqual(Level.WARN)) return false
        val now = event.timeStamp / MILLIS_PER_SECOND
        if (second.getAndSet(now) != now) linesInSecond.set(0)
        return linesInSecond.incrementAndGet() > linesPerSecond
    }

    companion object {
        private const val MILLIS_PER_SECOND = 1000L

        /** Three times the requests per second that one daemon serves under heavy load. */
        private const val DEFAULT_LINES_PER_SECOND = 300

        /** Upper bound of the queued lines, about half a MiB. */
        private const val MAX_QUEUED_LINES = 1024

        private val omittedCount = AtomicLong()

        /** The number of lines omitted since the start of the process. */
        val omittedLines: Long get() = omittedCount.get()
    }
}
