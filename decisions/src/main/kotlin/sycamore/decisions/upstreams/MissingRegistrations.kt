package sycamore.decisions.upstreams

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether upstreams whose registrations are missing have ended, or have only lost their registrations.
 *
 * An upstream renews its registration every second or so, and the registration is removed when it is not renewed. In an
 * outage of the key-value service the registrations of running upstreams are removed too. A watch does not show every
 * outage: a service that accepts no renewals may keep the calls of watches open, and answers them afterwards with the
 * removals.
 */
object MissingRegistrations {
    /**
     * Whether [missing] of [registered] upstreams, which disappeared together, may still be running.
     *
     * @param missing number of upstreams that disappeared and had not announced it.
     * @param registered number of upstreams before.
     * @param outage time for which the watch has failed before the upstreams were missed.
     */
    fun mayBeRunning(
        missing: Int,
        registered: Int,
        outage: Duration,
    ): Boolean = missing > 0 && (outage > MAX_SHORT_OUTAGE || isLapse(missing, registered))

    /** Whether so many registrations end at the same time only because none of them can be renewed. */
    private fun isLapse(
        missing: Int,
        registered: Int,
    ): Boolean = missing >= MIN_LAPSED && missing > registered * MIN_LAPSED_SHARE

    /**
     * Time within which an interrupted watch is resumed. Registrations do not expire in an outage that is no longer.
     */
    private val MAX_SHORT_OUTAGE = 1000.milliseconds

    /** Share of all upstreams. Planned work replaces the upstreams of a service one after the other. */
    private const val MIN_LAPSED_SHARE = 0.3

    /** Two upstreams of a small deployment may well end at the same time. */
    private const val MIN_LAPSED = 3
}
