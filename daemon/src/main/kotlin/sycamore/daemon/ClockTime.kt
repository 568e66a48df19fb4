package sycamore.daemon

import kotlin.time.AbstractLongTimeSource
import kotlin.time.Clock
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** The time source that belongs to a clock: the monotonic one to the system's, else one that follows the clock. */
object ClockTime {
    /** The time source of [clock]. */
    fun of(clock: Clock): TimeSource.WithComparableMarks =
        if (clock === Clock.System) TimeSource.Monotonic else Following(clock)

    private class Following(
        private val clock: Clock,
    ) : AbstractLongTimeSource(DurationUnit.NANOSECONDS) {
        private val origin = clock.now()

        override fun read(): Long = (clock.now() - origin).inWholeNanoseconds
    }
}
