package sycamore.standins.engine

import sycamore.services.CacheEvent
import sycamore.services.EngineLoad
import kotlin.random.Random
import kotlin.time.Duration

/** The cache events of an engine, of which some are lost and the others become visible with a delay. */
internal class CacheEvents(
    private val faults: EngineFaults,
) {
    private class TimedEvent(
        val at: Duration,
        val event: CacheEvent,
    )

    private val random = Random(faults.seed)
    private val events = ArrayDeque<TimedEvent>()

    /** The number of the last event, lost events included. */
    var lastNumber = 0L
        private set

    fun add(
        at: Duration,
        program: String,
        tokens: Long,
    ) {
        lastNumber++
        if (random.nextDouble() < faults.eventLoss) return
        events += TimedEvent(at, CacheEvent(lastNumber, program, tokens))
        if (events.size > MAX_EVENTS) events.removeFirst()
    }

    /** The events with a number above [number] that are visible at [now]. */
    fun visibleAfter(
        number: Long,
        now: Duration,
    ): List<CacheEvent> =
        events
            .asReversed()
            .asSequence()
            .takeWhile { it.event.number > number }
            .filter { it.at + faults.eventLag <= now }
            .map { it.event }
            .toList()
            .asReversed()

    private companion object {
        const val MAX_EVENTS = 10_000
    }
}

/** The load of an engine, reported with a delay of [lag]. */
internal class DelayedLoad(
    private val lag: Duration,
) {
    private val samples = ArrayDeque<Pair<Duration, EngineLoad>>()

    fun add(
        at: Duration,
        load: EngineLoad,
    ) {
        samples += at to load
        while (samples.size > 1 && samples[1].first <= at - lag) samples.removeFirst()
    }

    /** The load as it was [lag] before [now]. It is empty if there was no sample yet. */
    fun reportedAt(now: Duration): EngineLoad = samples.lastOrNull { it.first <= now - lag }?.second ?: EngineLoad()
}
