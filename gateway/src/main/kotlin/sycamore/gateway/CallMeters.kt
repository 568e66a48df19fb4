package sycamore.gateway

import io.micrometer.core.instrument.MeterRegistry
import sycamore.daemon.recordLatency
import sycamore.routing.Route
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/** Counts and times what callers send. */
internal class CallMeters(
    private val registry: MeterRegistry,
) {
    private val open = AtomicInteger().also { registry.gauge(OPEN, it) }

    /** A call begins. */
    fun begin() {
        open.incrementAndGet()
    }

    /** A call of [route] ended after [time] with [status], or was broken off ([isCut]) before or after its status. */
    fun end(
        route: Route,
        status: Int?,
        isCut: Boolean,
        time: Duration,
    ) {
        open.decrementAndGet()
        val outcome = if (isCut || status == null) BROKEN else status.toString()
        registry.recordLatency(CALLS, time, "route", route.name.toString(), "outcome", outcome)
    }

    /** A call was refused before its route was known. */
    fun refuse(status: Int) = registry.counter(REFUSED, "status", status.toString()).increment()

    /** A turn was to be sent once more because of [reason]. */
    fun sendAgain(reason: String) = registry.counter(RESENDS, "reason", reason).increment()

    private companion object {
        const val OPEN = "sycamore.calls.in.progress"
        const val CALLS = "sycamore.calls"
        const val REFUSED = "sycamore.calls.refused"
        const val RESENDS = "sycamore.turns.sent.again"
        const val BROKEN = "broken"
    }
}
