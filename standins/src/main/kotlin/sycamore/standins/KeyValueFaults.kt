package sycamore.standins

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/**
 * What is wrong with a key-value service at the moment.
 *
 * @property down whether it refuses every call.
 * @property delay by which each call comes late.
 * @property lostAnswers how many of the next writes take effect without their answer.
 * @property callsPerSecond above which it refuses calls; 0 sets no limit.
 * @property stale whether reads see the state as it was when this was switched on.
 */
@Serializable
data class KeyValueFaults(
    val down: Boolean = false,
    val delay: Duration = Duration.ZERO,
    val lostAnswers: Int = 0,
    val callsPerSecond: Double = 0.0,
    val stale: Boolean = false,
)
