package sycamore.decisions.accounts

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Budget of program starts of one account: as many as it can carry, given the mean number of requests of its programs.
 *
 * @param emptyAt time from which on the budget accrues.
 */
internal class StartBudget(
    terms: CreditTerms,
    emptyAt: Duration,
) {
    private var terms = terms
    private val starts = DecayingCount(MEMORY)
    private val continuations = DecayingCount(MEMORY)
    private val bucket = TokenBucket(startRate(PRIOR_REQUESTS), startCapacity(PRIOR_REQUESTS), emptyAt)

    /** Records the requests that have arrived since the last call, and those of them that started programs. */
    fun observe(
        arrived: RequestCounts,
        terms: CreditTerms,
        now: Duration,
    ) {
        this.terms = terms
        starts.add(arrived.starts, now)
        continuations.add(arrived.continuations, now)
        val mean = requestsPerProgram(now)
        bucket.change(startRate(mean), startCapacity(mean), now)
    }

    /** Mean number of requests per started program. */
    fun requestsPerProgram(now: Duration): Double {
        val started = starts.value(now) + PRIOR_STARTS
        return (started + continuations.value(now) + PRIOR_STARTS * (PRIOR_REQUESTS - 1)) / started
    }

    /** Number of starts that the account can carry at [now]. */
    fun available(now: Duration): Int = bucket.level(now).toInt()

    /** Spends [number] starts. */
    fun spend(
        number: Int,
        now: Duration,
    ) {
        bucket.take(number, now)
    }

    /** Time until one start is available. */
    fun timeUntilStart(now: Duration): Duration = bucket.timeUntil(1.0, now)

    private fun startRate(requests: Double): Double = terms.rate * START_SHARE / requests

    private fun startCapacity(requests: Double): Double =
        maxOf(MIN_CAPACITY, (terms.capacity + terms.rate * CARRIED.seconds) / requests)

    private companion object {
        /** Estimate before any program was seen, and the number of programs that it counts as. */
        const val PRIOR_REQUESTS = 4.0
        const val PRIOR_STARTS = 3.0

        /** Several times the duration of a program. */
        val MEMORY = 30.seconds

        /** Programs that start together spread their requests over at least this time. */
        val CARRIED = 2.seconds

        /** Share of the rate that is spent on new programs; the rest lets programs under way catch up. */
        const val START_SHARE = 0.95

        const val MIN_CAPACITY = 2.0
    }
}
