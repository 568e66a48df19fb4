package sycamore.decisions.accounts

import kotlin.time.Duration

/**
 * Readings of two clocks of one process at the same moment.
 *
 * @property steady reading of a clock that may stand still while the process or its host is suspended. What accrues goes by it.
 * @property elapsed reading of a clock that also counts while the process or its host is suspended. What expires goes by it.
 */
data class AccountTime(
    val steady: Duration,
    val elapsed: Duration,
)
