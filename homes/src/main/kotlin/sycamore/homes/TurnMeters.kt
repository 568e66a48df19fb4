package sycamore.homes

import io.micrometer.core.instrument.MeterRegistry
import sycamore.daemon.recordLatency
import kotlin.time.Duration

/** Metrics of the turns and takeovers of a home. */
internal class TurnMeters(
    private val registry: MeterRegistry,
) {
    /** Registers a gauge [name] that shows [value]. */
    fun registerGauge(
        name: String,
        value: () -> Int,
    ) {
        registry.gauge(name, this) { value().toDouble() }
    }

    /** Records that the engine has begun to answer a turn, [time] after its arrival. */
    fun recordBegun(time: Duration) = registry.recordLatency(BEGUN, time)

    /** Records that a turn has ended with [outcome], [time] after its arrival. */
    fun recordEnded(
        outcome: String,
        time: Duration,
    ) = registry.recordLatency(TURNS, time, "outcome", outcome)

    /** Counts an answer that went on at another engine. */
    fun countResumed() = registry.counter(RESUMED).increment()

    /** Counts a turn that was refused because of [reason]. */
    fun countRefused(reason: String) = registry.counter(REFUSED, "reason", reason).increment()

    /** Records that the takeover of a lost home took [time]. */
    fun recordTakeover(time: Duration) = registry.recordLatency(TAKEOVERS, time)

    companion object {
        const val RUNNING = "sycamore.engine.turns.running"
        const val WAITING = "sycamore.engine.turns.waiting"
        const val TOKEN_MICROS = "sycamore.engine.pace.token.micros"
        const val SLOWDOWN = "sycamore.engine.pace.slowdown.percent"
        const val PROGRAMS = "sycamore.home.programs"
        const val ACCOUNTS = "sycamore.home.accounts"
        private const val BEGUN = "sycamore.turns.begun"
        private const val TURNS = "sycamore.turns"
        private const val RESUMED = "sycamore.turns.resumed"
        private const val REFUSED = "sycamore.turns.refused"
        private const val TAKEOVERS = "sycamore.home.takeovers"
    }
}
