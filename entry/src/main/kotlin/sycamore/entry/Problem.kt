package sycamore.entry

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.http4k.core.Response
import org.http4k.core.Status
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import kotlin.math.ceil
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Encodes refusals as `application/problem+json`, together with the error object that chat clients expect. */
internal object Problem {
    /** The header with the outcome of a refused request. */
    const val OUTCOME = "sycamore-outcome"

    /** The response for [refusal]. */
    fun response(refusal: Refusal): Response {
        val response =
            Response(Status(refusal.status, null))
                .header("content-type", "application/problem+json")
                .header(OUTCOME, refusal.outcome.text)
                .body(Json.encodeToString(body(refusal)))
        val wait = refusal.retryAfter ?: return response
        return response.header(
            "retry-after",
            ceil(wait.toDouble(DurationUnit.SECONDS)).toLong().coerceAtLeast(1).toString(),
        )
    }

    /** The response to a request that did not run, for the reason in [detail]. */
    fun notRun(
        status: Int,
        detail: String,
    ): Response = response(Refusal(Outcome.NOT_RUN, status, detail))

    /** The response to a request beyond the server's limits. */
    fun overLimit(
        status: Int,
        detail: String,
    ): Response {
        val wait = if (status == HttpStatus.UNAVAILABLE) 1.seconds else null
        return response(Refusal(Outcome.NOT_RUN, status, detail, wait))
    }

    /** The error that a stream of events ends with when it cannot be completed, as JSON. */
    fun event(refusal: Refusal): String = Json.encodeToString(body(refusal))

    private fun body(refusal: Refusal) =
        ProblemBody(
            title = title(refusal.outcome),
            status = refusal.status,
            detail = refusal.detail,
            outcome = refusal.outcome.text,
            error = ErrorBody(refusal.detail, errorType(refusal.status), refusal.outcome.text),
        )

    private fun title(outcome: Outcome): String =
        when (outcome) {
            Outcome.NOT_RUN -> "The request did not run"
            Outcome.UNKNOWN -> "The request may have run and will not be run again"
            Outcome.FAILED -> "The request ran and failed"
        }

    private fun errorType(status: Int): String =
        when (status) {
            HttpStatus.UNAUTHORIZED -> "authentication_error"
            HttpStatus.FORBIDDEN -> "permission_error"
            HttpStatus.TOO_MANY_REQUESTS -> "rate_limit_error"
            in CLIENT_ERRORS -> "invalid_request_error"
            else -> "server_error"
        }

    private val CLIENT_ERRORS = 400..499
}

/** A refusal as problem details of RFC 9457, with [error] in the format of chat clients. */
@Serializable
private data class ProblemBody(
    val title: String,
    val status: Int,
    val detail: String,
    val outcome: String,
    val error: ErrorBody,
)

@Serializable
private data class ErrorBody(
    val message: String,
    val type: String,
    val code: String,
    @EncodeDefault val param: String? = null,
)
