package sycamore.decisions

import kotlinx.serialization.Serializable
import sycamore.model.CallId
import kotlin.time.Duration

/** What a gate decided about one call or cache, and on what grounds. */
@Serializable
sealed interface GateDecision {
    /** The program that it is about. */
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

    /** The program's cache was given up. */
    @Serializable
    data class Evicted(
        override val program: String,
        val tokens: Long,
        val reason: String,
    ) : GateDecision {
        override fun toString(): String = "$tokens cached tokens evicted: $reason"
    }
}
