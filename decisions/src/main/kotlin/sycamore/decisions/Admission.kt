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
 * What a gate has under way, by its own count.
 *
 * @property runningTokens that calls in progress hold or will hold.
 * @property heldTokens of idle caches that are worth keeping, see [Retention.holdLimit].
 */
data class GateLoad(
    val running: Int,
    val runningTokens: Long,
    val heldTokens: Long,
)

/**
 * Keeps an upstream just full enough, by the gate's own count of calls in progress: the upstream's report lags, and
 * what waits inside it can no longer be put in order.
 *
 * A call whose prompt is not cached starts only when it fits beside the programs whose return is expected soon. Else
 * programs would evict each other's caches in turn, and the upstream would spend its time on computing them again.
 *
 * @property capacity calls in progress at once.
 * @property memoryTokens tokens that fit into its memory; 0 for an upstream without a cache.
 */
data class UpstreamLimits(
    val capacity: Int,
    val memoryTokens: Long = 0,
) {
    /** Decides on [call] at [load]. */
    fun admit(
        call: WaitingCall,
        load: GateLoad,
    ): Admission {
        if (load.running >= capacity) return Admission.Hold("${load.running} of $capacity calls are in progress")
        if (memoryTokens == 0L || load.running == 0) return Admission.Admit
        val beside = load.runningTokens + if (call.isResident) 0 else load.heldTokens
        val wanted = beside + call.tokens
        if (wanted > memoryTokens) return Admission.Hold("expected at most $memoryTokens tokens, found $wanted")
        return Admission.Admit
    }
}
