package sycamore.gateway

import io.micrometer.core.instrument.MeterRegistry
import sycamore.daemon.recordLatency
import sycamore.routing.Route
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/** Metrics of the calls that callers send. */
internal class CallMeters(
    private val registry: MeterRegistry,
) {
    private val open = AtomicInteger().also { registry.gauge(OPEN, it) }

    /** Records the start of a call. */
    fun recordStart() {
        open.incrementAndGet()
    }

    /**
     * Records the end of a call of [route] after [time]. If [isAborted], its connection was closed before the response
     * was complete, before or after [status] was sent.
     */
    fun recordEnd(
        route: Route,
        status: Int?,
        isAborted: Boolean,
        time: Duration,
    ) {
        open.decrementAndGet()
        val outcome = if (isAborted || status == null) BROKEN else status.toString()
        registry.recordLatency(CALLS, time, "route", route.name.toString(), "outcome", outcome)
    }

    /** Records a call that was refused with [status] before a route accepted it. */
    fun recordRefusal(status: Int) = registry.counter(REFUSED, "status", status.toString()).increment()

    /** Records a request that was refused because of [fault] of its key. */
    fun recordKeyRefusal(fault: KeyFault) = registry.counter(KEYS_REFUSED, "fault", fault.name.lowercase()).increment()

    /** Records that a turn has to be sent again because of [reason]. */
    fun recordResend(reason: String) = registry.counter(RESENDS, "reason", reason).increment()

    /** Records that a call of an account with a limit was refused because of [reason]. */
    fun recordLimitRefusal(reason: String) = registry.counter(LIMITED, "reason", reason).increment()

    /** Records a message to a home that decides about credit of accounts. */
    fun recordCreditAsk(isAnswered: Boolean) = registry.counter(ASKS, "answered", isAnswered.toString()).increment()

    private companion object {
        const val OPEN = "sycamore.calls.in.progress"
        const val CALLS = "sycamore.calls"
        const val REFUSED = "sycamore.calls.refused"
        const val KEYS_REFUSED = "sycamore.keys.refused"
        const val RESENDS = "sycamore.turns.sent.again"
        const val LIMITED = "sycamore.accounts.refused"
        const val ASKS = "sycamore.accounts.asks"
        const val BROKEN = "broken"
    }
}
