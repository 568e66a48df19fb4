package sycamore.programs

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** What became of a call that was not answered as it asked. */
@Serializable
enum class Outcome(
    val text: String,
) {
    /** It did not run and cannot run later. The caller may send it again. */
    NOT_RUN("not-run"),

    /** It may have run. It will never be run again. */
    UNKNOWN("unknown"),

    /** It ran, and failed. */
    FAILED("failed"),
}

/**
 * Why a call is refused.
 *
 * @property status the HTTP status that the caller gets.
 * @property retryAfter when a repeat is worth trying, or null when it never is.
 */
@Serializable
data class Refusal(
    val outcome: Outcome,
    val status: Int,
    val detail: String,
    val retryAfter: Duration? = null,
)
