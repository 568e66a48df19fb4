package sycamore.bench.history

import kotlin.time.Duration

/** Collects what callers, upstreams and operators see. [now] tells the time since the start of the run. */
internal class Recorder(
    val now: () -> Duration,
) {
    private val events = ArrayList<Event>()

    /** Records the event that [make] builds for the present time. */
    fun record(make: (Duration) -> Event) {
        events += make(now())
    }

    /** All that was recorded so far. */
    fun history(): History = History(events.toList())
}
