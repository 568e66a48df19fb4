package sycamore.entry

import org.http4k.core.Response
import sycamore.links.Call
import sycamore.model.CallerName
import sycamore.model.ProgramId
import sycamore.programs.Refusal
import kotlin.time.Duration
import kotlin.time.TimeSource

/** What becomes known of one request while it is answered, for its metrics and its line in the log. */
internal class RequestTrace(
    val method: String,
    val path: String,
    val caller: CallerName,
    time: TimeSource,
) {
    private val start = time.markNow()

    /** The call that was sent to a home, or null. */
    @Volatile
    var call: Call? = null

    /** The program of the call, once it is known. */
    @Volatile
    var program: ProgramId? = null

    /** When the first part of the answer came, since the request began, or null before that. */
    @Volatile
    var firstPart: Duration? = null
        private set

    /** Why the answer was cut off after its head had been sent, or null. */
    @Volatile
    var cutOff: Refusal? = null

    /** Time since the request began. */
    val elapsed: Duration get() = start.elapsedNow()

    /** Takes note that a part of the answer came. */
    fun partCame() {
        if (firstPart == null) firstPart = elapsed
    }

    /** What became of the request that [response] answers: `answered`, `cut-off` or the outcome of its refusal. */
    fun outcome(response: Response): String =
        if (cutOff != null) CUT_OFF else response.header(Problem.OUTCOME) ?: ANSWERED

    companion object {
        /** The outcome of a request whose answer is whole. */
        const val ANSWERED = "answered"

        /** The outcome of a request whose answer broke off after its head. */
        const val CUT_OFF = "cut-off"
    }
}
