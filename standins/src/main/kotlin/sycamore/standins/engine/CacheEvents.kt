package sycamore.standins.engine

import sycamore.services.CacheEvent
import sycamore.services.EngineLoad
import kotlin.random.Random
import kotlin.time.Duration

/** The engine's cache events, shown late and with gaps. */
internal class CacheEvents(
    private val faults: EngineFaults,
) {
    private class Dated(
        val at: Duration,
        val event: CacheEvent,
    )

    private val random = Random(faults.seed)
    private val events = ArrayDeque<Dated>()

    /** The number of the last event. */
    var last = 0L
        private set

    fun add(
        at: Duration,
        program: String,
        tokens: Long,
    ) {
        last++
        if (random.nextDouble() < faults.eventLoss) return
        events += Dated(at, CacheEvent(last, program, tokens))
        if (events.size > KEPT) events.removeFirst()
    }

    /** The visible events above [number]. */
    fun above(
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
        const val KEPT = 10_000
    }
}

/** The engine's load, shown with a lag. */
internal class LaggingLoad(
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

    /** The load as it was one lag before [now]. */
    fun at(now: Duration): EngineLoad = samples.lastOrNull { it.first <= now - lag }?.second ?: EngineLoad()
}
