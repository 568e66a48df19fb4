package sycamore.entry

import org.http4k.core.Response
import sycamore.links.Call
import sycamore.model.CallerName
import sycamore.model.ProgramId
import sycamore.programs.Refusal
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Data about one request, collected while it is handled, for its metrics and its log line. */
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

    /** The time from the start of the request to the first part of its answer, or null before that. */
    @Volatile
    var timeToFirstPart: Duration? = null
        private set

    /** Why the answer was cut off after its head had been sent, or null. */
    @Volatile
    var cutOffReason: Refusal? = null

    /** The time since the request began. */
    val elapsed: Duration get() = start.elapsedNow()

    /** Records that a part of the answer arrived. */
    fun recordPart() {
        if (timeToFirstPart == null) timeToFirstPart = elapsed
    }

    /** The outcome of the request that [response] answers: `answered`, `cut-off` or the outcome of its refusal. */
    fun outcome(response: Response): String =
        if (cutOffReason != null) CUT_OFF else response.header(Problem.OUTCOME) ?: ANSWERED

    companion object {
        /** The outcome of a request whose answer is complete. */
        const val ANSWERED = "answered"

        /** The outcome of a request whose answer was cut off after its head had been sent. */
        const val CUT_OFF = "cut-off"
    }
}
