package sycamore.host

import sycamore.decisions.OverloadDecision
import sycamore.decisions.ServedCall
import sycamore.model.CallId
import sycamore.model.CallerName
import kotlin.time.Duration

/**
 * A call in the queue of a gate.
 *
 * @property program the program of the call, by which the upstream's cache is tagged.
 * @property root the root program, which started [program] directly or through others; the program itself if it has no
 * parent.
 * @property promptTokens the tokens of the complete prompt.
 * @property maxOutputTokens the upper bound of the answer's tokens.
 * @property isNew whether this is the first call of its program.
 * @property timeLeft the time until the caller's deadline.
 */
data class QueuedCall(
    val id: CallId,
    val program: String,
    val root: String,
    val caller: CallerName,
    val promptTokens: Long,
    val maxOutputTokens: Long,
    val isNew: Boolean,
    val timeLeft: Duration,
)

/** The result of [GateQueue.admit]. */
sealed interface QueueResult {
    /** The call may be sent to the upstream now. [Ticket.close] has to be called once it has ended or failed. */
    data class Granted(
        val ticket: Ticket,
    ) : QueueResult

    /** The call did not run and will not run. */
    data class Refused(
        val shed: OverloadDecision.Shed,
    ) : QueueResult
}

/** The slot of one call at the upstream. */
class Ticket internal constructor(
    private val release: (ServedCall?, String?) -> Unit,
) {
    private var isOpen = true

    /**
     * Releases the slot. Further calls have no effect.
     *
     * @param served the measured tokens and times of the call, or null if it failed.
     * @param tool the tool that the answer calls, by which the pause until the program's next call is estimated.
     */
    @Synchronized
    fun close(
        served: ServedCall?,
        tool: String? = null,
    ) {
        if (isOpen) release(served, tool)
        isOpen = false
    }
}
