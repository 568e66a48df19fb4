package sycamore.entry

import sycamore.model.Caller
import sycamore.model.CallerName
import sycamore.services.RateLimit
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.TimeSource

/** The decision whether a request of an account may begin. */
internal sealed interface Admission {
    /** The request may begin. Closing this ends the request; closing it again does nothing. */
    class Admitted(
        private val inProgress: AtomicInteger,
    ) : Admission,
        AutoCloseable {
        private val isOpen = AtomicBoolean(true)

        override fun close() {
            if (isOpen.getAndSet(false)) inProgress.decrementAndGet()
        }
    }

    /** The account sends more than [perSecond] requests a second to this entry. The next may begin after [wait]. */
    data class TooFast(
        val perSecond: Double,
        val wait: Duration,
    ) : Admission

    /** The account has [limit] requests in progress at this entry. */
    data class TooMany(
        val limit: Int,
    ) : Admission

    /** The account's rate is zero. */
    data object Closed : Admission
}

/**
 * Enforces the limits of each account on the rate of its requests and on its requests in progress.
 *
 * @param entries the number of entry hosts among which the platform's balancer distributes an account's requests.
 *   Each of them admits an equal share.
 */
internal class AccountLimits(
    private val entries: Int,
    private val time: TimeSource = TimeSource.Monotonic,
) {
    private class State(
        val rate: Double,
        val rateLimit: RateLimit,
        val inProgress: AtomicInteger,
    )

    private val states = ConcurrentHashMap<CallerName, State>()

    /** Admits a request of [caller], or returns the limit that it exceeds. */
    fun admit(caller: Caller): Admission {
        if (caller.rate <= 0.0) return Admission.Closed
        val state = stateOf(caller)
        val concurrency = (caller.concurrency / entries).coerceAtLeast(1)
        if (state.inProgress.incrementAndGet() > concurrency) {
            state.inProgress.decrementAndGet()
            return Admission.TooMany(concurrency)
        }
        val admitted = Admission.Admitted(state.inProgress)
        val wait = state.rateLimit.tryAcquire()
        if (wait == Duration.ZERO) return admitted
        admitted.close()
        return Admission.TooFast(state.rate, wait)
    }

    /** Removes the state of all accounts that are not in [callers]. */
    fun retain(callers: Set<CallerName>) {
        states.keys.retainAll(callers)
    }

    private fun stateOf(caller: Caller): State {
        val rate = caller.rate / entries
        return states.compute(caller.name) { _, old ->
            if (old?.rate == rate) old else State(rate, rateLimit(rate), old?.inProgress ?: AtomicInteger())
        }!!
    }

    private fun rateLimit(rate: Double) = RateLimit(rate, ceil(rate).toInt().coerceAtLeast(1), time)
}
