package sycamore.soak

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What one upstream takes, and how it treats what exceeds that.
 *
 * @property slots the calls that it runs at the same time. It refuses further ones.
 * @property connections the connections that it keeps. It resets further ones.
 * @property idleTimeout the time after which it closes an idle connection; null if it never does.
 * @property work the most time that a call runs before its answer.
 * @property faultyShare the share of exchanges that are faulty.
 */
internal data class UpstreamLimits(
    val slots: Int = 8,
    val connections: Int = Int.MAX_VALUE,
    val idleTimeout: Duration? = null,
    val work: Duration = 30.milliseconds,
    val faultyShare: Double = 0.15,
)
