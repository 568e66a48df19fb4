package sycamore.host

import sycamore.links.Call
import sycamore.programs.BudgetLimit
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The refusals that a home responds with. */
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

    private val RETRY_AFTER: Duration = 2.seconds

    /** The body cannot be parsed. */
    fun badBody(expected: String) = Refusal(Outcome.NOT_RUN, BAD_REQUEST, "expected $expected")

    /** The program does not exist. */
    fun programNotFound(program: Any) = Refusal(Outcome.NOT_RUN, NOT_FOUND, "no program $program")

    /** The program has ended. */
    fun programEnded(reason: String) = Refusal(Outcome.NOT_RUN, GONE, "the program has ended ($reason)")

    /** The conversation in the request differs from the program's history at message [index], counted from 0. */
    fun historyDiffers(index: Int) =
        Refusal(Outcome.NOT_RUN, CONFLICT, "message ${index + 1} differs from the program's history")

    /** The turn is assigned to another call. */
    fun turnTaken(next: Int) =
        Refusal(Outcome.NOT_RUN, CONFLICT, "another call has taken this turn; the next one is $next")

    /** An earlier turn was not called or not completed in time. */
    fun turnMissing() = Refusal(Outcome.NOT_RUN, CONFLICT, "an earlier turn is missing or has not ended", RETRY_AFTER)

    /** The idempotency key was used for a different request. */
    fun requestMismatch() =
        Refusal(Outcome.NOT_RUN, UNPROCESSABLE, "another request was sent under the same idempotency key")

    /** The call ran, and its answer has been discarded. */
    fun answerDiscarded() = Refusal(Outcome.FAILED, GONE, "the call ran; its answer is no longer kept")

    /** The request is larger than [bytes]. */
    fun tooLarge(bytes: Int) = Refusal(Outcome.NOT_RUN, TOO_LARGE, "expected at most $bytes bytes")

    /** The budget of the program is spent. */
    fun budgetExhausted(limit: BudgetLimit) =
        Refusal(Outcome.NOT_RUN, TOO_MANY, "the program's budget of ${limit.text} is spent")

    /** The program has sent the same call [times] times in a row, with the same answer. */
    fun repeatedCall(times: Int) =
        Refusal(Outcome.NOT_RUN, TOO_MANY, "the same call got the same answer $times times in a row")

    /** The call cannot run now and did not run. It may be repeated. */
    fun unavailable(detail: String) = Refusal(Outcome.NOT_RUN, UNAVAILABLE, detail, RETRY_AFTER)

    /** The call did not run and can no longer run. */
    fun barred() = Refusal(Outcome.NOT_RUN, CONFLICT, "the call was given up before it ran")

    /** It is unknown whether the call ran. */
    fun outcomeUnknown(detail: String) = Refusal(Outcome.UNKNOWN, BAD_GATEWAY, detail)

    /** The call ran, but its records are not durable yet, so that the answer cannot be released. */
    fun notDurableYet() =
        Refusal(Outcome.UNKNOWN, UNAVAILABLE, "the answer is not durable yet; repeat the call for it", RETRY_AFTER)

    /** The home of the program is not known now. If the call may have been sent before, it may have run. */
    fun homeNotFound(call: Call) =
        Refusal(
            if (call.mayRepeat) Outcome.UNKNOWN else Outcome.NOT_RUN,
            UNAVAILABLE,
            "the home of program ${call.program} cannot be found now",
            RETRY_AFTER,
        )

    /** The call ran and failed. */
    fun failed(detail: String) = Refusal(Outcome.FAILED, BAD_GATEWAY, detail)
}
