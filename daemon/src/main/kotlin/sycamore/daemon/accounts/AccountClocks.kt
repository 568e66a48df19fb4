package sycamore.daemon.accounts

import sycamore.decisions.accounts.AccountTime
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Reads the clocks by which credit accrues and expires.
 *
 * The monotonic clock may stand still while the host is suspended. The elapsed one follows it, and jumps ahead with the wall clock
 * whenever that has advanced further. A wall clock that is set back changes nothing; one that is set ahead makes credit expire early.
 */
class AccountClocks(
    time: TimeSource,
    private val wall: Clock = Clock.System,
) {
    private val start = time.markNow()
    private var steadyAt = Duration.ZERO
    private var wallAt = wall.now()
    private var ahead = Duration.ZERO

    /** Reads both clocks. */
    @Synchronized
    fun now(): AccountTime {
        val steady = start.elapsedNow()
        val wallNow = wall.now()
        val difference = (wallNow - wallAt) - (steady - steadyAt)
        if (difference.absoluteValue > TOLERANCE) {
            if (difference > Duration.ZERO) ahead += difference
            steadyAt = steady
            wallAt = wallNow
        }
        return AccountTime(steady, steady + ahead)
    }

    private companion object {
        /** Smaller differences come from reading the clocks one after the other, and from the adjustment of their rates. */
        val TOLERANCE = 20.milliseconds
    }
}
