package sycamore.host

import sycamore.decisions.OverloadDecision
import sycamore.decisions.ServedCall
import sycamore.model.CallId
import sycamore.model.CallerName
import kotlin.time.Duration

/**
 * A call that asks to be sent to the upstream.
 *
 * @property program tags its cache.
 * @property root the program that started this one, directly or through others; itself for one without a parent.
 * @property promptTokens of the whole prompt.
 * @property maxOutputTokens upper bound of the answer's tokens.
 * @property isNew whether it is its program's first call.
 * @property timeLeft until the caller's deadline.
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

/** What became of a [QueuedCall]. */
sealed interface Turn {
    /** It may go to the upstream now. [Ticket.close] has to be called afterwards, whatever happens. */
    data class Granted(
        val ticket: Ticket,
    ) : Turn

    /** It did not run and will not. */
    data class Refused(
        val shed: OverloadDecision.Shed,
    ) : Turn
}

/** The room of one call in the upstream. */
class Ticket internal constructor(
    private val give: (ServedCall?, String?) -> Unit,
) {
    private var isOpen = true

    /**
     * Gives the room back.
     *
     * @param served how the call went, or null when it failed.
     * @param tool the tool that the answer calls, which tells how long the program will pause.
     */
    @Synchronized
    fun close(
        served: ServedCall?,
        tool: String? = null,
    ) {
        if (isOpen) give(served, tool)
        isOpen = false
    }
}
