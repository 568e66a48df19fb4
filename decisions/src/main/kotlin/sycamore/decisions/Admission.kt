package sycamore.decisions

/** Decision on whether the next call is sent to the upstream now. */
sealed interface Admission {
    /** The call is sent. */
    data object Admit : Admission

    /** The call waits, because of [reason]. */
    data class Hold(
        val reason: String,
    ) : Admission
}

/**
 * Load that a gate has put on its upstream, by the gate's own count.
 *
 * @property running number of calls in progress.
 * @property runningTokens tokens of memory that the calls in progress occupy or will occupy.
 * @property heldTokens tokens of idle caches that are worth keeping, see [Retention.holdLimit].
 */
data class GateLoad(
    val running: Int,
    val runningTokens: Long,
    val heldTokens: Long,
)

/**
 * Limits that keep an upstream fully used without a queue inside it. They apply to the gate's own count of calls in
 * progress, because the upstream's report lags, and calls that wait inside the upstream can no longer be reordered.
 *
 * A call whose prompt is not cached starts only when it fits into memory beside the caches of the programs that are
 * expected back soon. Otherwise programs would evict each other's caches in turn, and the upstream would spend its time
 * on computing them again.
 *
 * @property capacity maximum number of calls in progress.
 * @property memoryTokens number of tokens that fit into the upstream's memory; 0 for an upstream without a cache.
 */
data class UpstreamLimits(
    val capacity: Int,
    val memoryTokens: Long = 0,
) {
    /** Decides whether [call] is sent when the gate has [load]. */
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
