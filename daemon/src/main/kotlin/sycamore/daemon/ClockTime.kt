package sycamore.daemon

import kotlin.time.AbstractLongTimeSource
import kotlin.time.Clock
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Maps a clock to a time source: the system clock to the monotonic one, any other to one that reads that clock. */
object ClockTime {
    /** The time source that advances with [clock]. */
    fun timeSourceOf(clock: Clock): TimeSource.WithComparableMarks =
        if (clock === Clock.System) TimeSource.Monotonic else ClockTimeSource(clock)

    private class ClockTimeSource(
        private val clock: Clock,
    ) : AbstractLongTimeSource(DurationUnit.NANOSECONDS) {
        private val origin = clock.now()

        override fun read(): Long = (clock.now() - origin).inWholeNanoseconds
    }
}
