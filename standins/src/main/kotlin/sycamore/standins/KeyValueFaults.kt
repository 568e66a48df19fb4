package sycamore.standins

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/**
 * The faults that are injected into a key-value service.
 *
 * @property down whether every call fails.
 * @property delay the delay added to each call.
 * @property lostAnswers the number of next writes that take effect but whose answers are lost.
 * @property callsPerSecond the rate above which calls are refused; 0 sets no limit.
 * @property stale whether reads return the state as of the moment when this fault was switched on.
 */
@Serializable
data class KeyValueFaults(
    val down: Boolean = false,
    val delay: Duration = Duration.ZERO,
    val lostAnswers: Int = 0,
    val callsPerSecond: Double = 0.0,
    val stale: Boolean = false,
)
