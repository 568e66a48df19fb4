package sycamore.daemon.log

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.spi.ILoggingEvent
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Hands log lines to the thread that writes them, and leaves out those that are too many: whoever logs never waits.
 *
 * Lines below a warning are left out above [linesPerSecond]; any line is left out while the writing thread is stuck.
 */
class LineBudget : AsyncAppender() {
    private val second = AtomicLong()
    private val count = AtomicInteger()

    /** Lines of one second, without warnings and errors. */
    var linesPerSecond: Int = DEFAULT_LINES

    init {
        isNeverBlock = true
        discardingThreshold = 0
        queueSize = QUEUE_LINES
    }

    override fun append(event: ILoggingEvent) {
        if (remainingCapacity == 0 || isOverBudget(event)) {
            omitted.incrementAndGet()
        } else {
            super.append(event)
        }
    }

    private fun isOverBudget(event: ILoggingEvent): Boolean {
        if (event.level.isGreaterOrEqual(Level.WARN)) return false
        val now = event.timeStamp / MILLIS_PER_SECOND
        if (second.getAndSet(now) != now) count.set(0)
        return count.incrementAndGet() > linesPerSecond
    }

    companion object {
        private const val MILLIS_PER_SECOND = 1000L

        /** Three times the requests that one daemon serves on a heavy day. */
        private const val DEFAULT_LINES = 300

        /** Lines that wait to be written, about half a MiB. */
        private const val QUEUE_LINES = 1024

        private val omitted = AtomicLong()

        /** Lines that were left out since the process began. */
        val omittedLines: Long get() = omitted.get()
    }
}
