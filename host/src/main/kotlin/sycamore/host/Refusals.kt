package sycamore.host

import sycamore.links.Call
import sycamore.programs.BudgetLimit
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The refusals that a home answers with. */
internal object Refusals {
    private const val BAD_REQUEST = 400
    private const val NOT_FOUND = 404
    private const val CONFLICT = 409
    private const val GONE = 410
    private const val TOO_LARGE = 413
    private const val UNPROCESSABLE = 422
    private const val TOO_MANY = 429
    private const val BAD_GATEWAY = 502
    private const val UNAVAILABLE = 503

    private val SOON: Duration = 2.seconds

    /** The body cannot be read. */
    fun badBody(expected: String) = Refusal(Outcome.NOT_RUN, BAD_REQUEST, "expected $expected")

    /** No such program. */
    fun noProgram(program: Any) = Refusal(Outcome.NOT_RUN, NOT_FOUND, "no program $program")

    /** The program has ended. */
    fun programEnded(reason: String) = Refusal(Outcome.NOT_RUN, GONE, "the program has ended ($reason)")

    /** The conversation differs from the history at message [index], from 0. */
    fun historyDiffers(index: Int) =
        Refusal(Outcome.NOT_RUN, CONFLICT, "message ${index + 1} differs from the program's history")

    /** The turn belongs to another call. */
    fun turnTaken(next: Int) =
        Refusal(Outcome.NOT_RUN, CONFLICT, "another call has taken this turn; the next one is $next")

    /** The turns before it did not come in time. */
    fun turnMissing() = Refusal(Outcome.NOT_RUN, CONFLICT, "an earlier turn is missing or has not ended", SOON)

    /** Another request under the same key. */
    fun otherRequest() =
        Refusal(Outcome.NOT_RUN, UNPROCESSABLE, "another request was sent under the same idempotency key")

    /** The answer is no longer kept. */
    fun forgotten() = Refusal(Outcome.FAILED, GONE, "the call ran; its answer is no longer kept")

    /** The request is too large. */
    fun tooLarge(bytes: Int) = Refusal(Outcome.NOT_RUN, TOO_LARGE, "expected at most $bytes bytes")

    /** The budget is spent. */
    fun exhausted(limit: BudgetLimit) =
        Refusal(Outcome.NOT_RUN, TOO_MANY, "the program's budget of ${limit.text} is spent")

    /** The program repeats itself. */
    fun loop(times: Int) = Refusal(Outcome.NOT_RUN, TOO_MANY, "the same call got the same answer $times times in a row")

    /** It cannot run now, and did not. */
    fun later(detail: String) = Refusal(Outcome.NOT_RUN, UNAVAILABLE, detail, SOON)

    /** It can never run, and did not. */
    fun barred() = Refusal(Outcome.NOT_RUN, CONFLICT, "the call was given up before it ran")

    /** Nobody can tell whether it ran. */
    fun unknown(detail: String) = Refusal(Outcome.UNKNOWN, BAD_GATEWAY, detail)

    /** It ran, and its answer cannot be released yet. */
    fun notSafeYet() = Refusal(Outcome.UNKNOWN, UNAVAILABLE, "the answer is not safe yet; repeat the call for it", SOON)

    /** The home of the program cannot be told now. A call that may have been sent before may have run. */
    fun homeNotFound(call: Call) =
        Refusal(
            if (call.mayRepeat) Outcome.UNKNOWN else Outcome.NOT_RUN,
            UNAVAILABLE,
            "the home of program ${call.program} cannot be found now",
            SOON,
        )

    /** It ran and failed. */
    fun failed(detail: String) = Refusal(Outcome.FAILED, BAD_GATEWAY, detail)
}
