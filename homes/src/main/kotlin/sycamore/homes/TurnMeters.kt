package sycamore.homes

import io.micrometer.core.instrument.MeterRegistry
import sycamore.daemon.recordLatency
import kotlin.time.Duration

/** Counts and times the turns at one home, and what a home takes over. */
internal class TurnMeters(
    private val registry: MeterRegistry,
) {
    /** Shows [value] as the meter [name]. */
    fun show(
        name: String,
        value: () -> Int,
    ) {
        registry.gauge(name, this) { value().toDouble() }
    }

    /** The engine began to answer a turn after [time]. */
    fun begin(time: Duration) = registry.recordLatency(BEGUN, time)

    /** A turn ended with [outcome] after [time]. */
    fun end(
        outcome: String,
        time: Duration,
    ) = registry.recordLatency(TURNS, time, "outcome", outcome)

    /** A turn was refused because of [reason]. */
    fun refuse(reason: String) = registry.counter(REFUSED, "reason", reason).increment()

    /** The programs of a lost home were read within [time]. */
    fun takeOver(time: Duration) = registry.recordLatency(TAKEOVERS, time)

    companion object {
        const val RUNNING = "sycamore.engine.turns.running"
        const val WAITING = "sycamore.engine.turns.waiting"
        const val PROGRAMS = "sycamore.home.programs"
        private const val BEGUN = "sycamore.turns.begun"
        private const val TURNS = "sycamore.turns"
        private const val REFUSED = "sycamore.turns.refused"
        private const val TAKEOVERS = "sycamore.home.takeovers"
    }
}
