package sycamore.soak

/** The promises that the soak checks. */
internal enum class Rule {
    TWICE,
    RESENT,
    REFUSED,
    MIXED,
    ORDER,
    UNASKED,
    LOST,
    DRAIN,
    DENIED,
    BUDGET,
    CONFIG,
    RECOVER,
    EXIT,
    KEY,
    HISTORY,
    LIMIT,
}

/**
 * A broken promise.
 *
 * @property subject the id of the attempt or the name of the daemon that log lines are searched for.
 * @property millis the time since the start of the run.
 */
internal data class Violation(
    val rule: Rule,
    val subject: String,
    val millis: Long,
    val detail: String,
)
