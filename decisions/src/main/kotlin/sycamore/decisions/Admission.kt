package sycamore.decisions

/** Whether the next call goes to the upstream now. */
sealed interface Admission {
    /** It does. */
    data object Admit : Admission

    /** It waits: [reason]. */
    data class Hold(
        val reason: String,
    ) : Admission
}

/**
 * Keeps an upstream just full enough, by the gate's own count of calls in progress: the upstream's report lags, and
 * what waits inside it can no longer be put in order.
 *
 * @property capacity calls in progress at once.
 * @property memoryTokens tokens that fit into its memory; 0 for an upstream without a cache.
 */
data class UpstreamLimits(
    val capacity: Int,
    val memoryTokens: Long = 0,
) {
    /** Decides on [call] while [running] calls with [runningTokens] tokens are in progress. */
    fun admit(
        call: WaitingCall,
        running: Int,
        runningTokens: Long,
    ): Admission {
        if (running >= capacity) return Admission.Hold("$running of $capacity calls are in progress")
        val wanted = runningTokens + call.tokens
        if (memoryTokens > 0 && running > 0 && wanted > memoryTokens) {
            return Admission.Hold("expected at most $memoryTokens tokens in progress, found $wanted")
        }
        return Admission.Admit
    }
}
