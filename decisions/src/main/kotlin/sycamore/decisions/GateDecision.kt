package sycamore.decisions

import kotlinx.serialization.Serializable
import sycamore.model.CallId
import kotlin.time.Duration

/** Decision of a gate about one call or cache, with the values that it was based on. */
@Serializable
sealed interface GateDecision {
    /** Program that the decision is about. */
    val program: String

    /** The call was sent to the upstream after [waited]. */
    @Serializable
    data class Sent(
        override val program: String,
        val call: CallId,
        val waited: Duration,
        val level: Int,
        val isResident: Boolean,
        val running: Int,
    ) : GateDecision {
        override fun toString(): String =
            "call $call sent after $waited: level $level, ${if (isResident) "cached" else "cold"}, $running in progress"
    }

    /** The call was refused before it ran. */
    @Serializable
    data class Refused(
        override val program: String,
        val call: CallId,
        val reason: String,
    ) : GateDecision {
        override fun toString(): String = "call $call refused: $reason"
    }

    /** The program's cache was evicted. */
    @Serializable
    data class Evicted(
        override val program: String,
        val tokens: Long,
        val reason: String,
    ) : GateDecision {
        override fun toString(): String = "$tokens cached tokens evicted: $reason"
    }
}
