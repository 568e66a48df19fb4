package sycamore.bench.history

import kotlin.time.Duration

/**
 * Records the events that callers, upstreams and operators observe.
 *
 * @property now returns the time since the start of the run.
 */
internal class Recorder(
    val now: () -> Duration,
) {
    private val events = ArrayList<Event>()

    /** Records the event that [make] builds from the present time. */
    fun record(make: (Duration) -> Event) {
        events += make(now())
    }

    /** The events recorded so far. */
    fun history(): History = History(events.toList())
}
