package sycamore.programs

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** The outcome of a call that was refused. */
@Serializable
enum class Outcome(
    val text: String,
) {
    /** The call did not run and cannot run later. The caller may send it again. */
    NOT_RUN("not-run"),

    /** The call may have run. The system will not run it again. */
    UNKNOWN("unknown"),

    /** The call ran and failed. */
    FAILED("failed"),
}

/**
 * The refusal of a call.
 *
 * @property status the HTTP status returned to the caller.
 * @property detail the reason for the refusal.
 * @property retryAfter the delay after which the caller may retry, or null when a retry cannot succeed.
 */
@Serializable
data class Refusal(
    val outcome: Outcome,
    val status: Int,
    val detail: String,
    val retryAfter: Duration? = null,
)
