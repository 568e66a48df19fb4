package sycamore.entry

import org.http4k.core.Request
import org.http4k.core.Response
import sycamore.model.Caller
import sycamore.model.Configuration

/** An authenticated request of [caller], handled under [configuration]. */
internal class CallerRequest(
    val http: Request,
    val caller: Caller,
    val configuration: Configuration,
    val trace: RequestTrace,
    private val bodyLimit: Int,
) {
    /** Calls [use] with the parsed headers, or refuses the request when one of them is invalid. */
    fun withHeaders(
        allowed: Set<String>,
        use: (CallHeaders) -> Response,
    ): Response =
        when (val read = HeaderReader.read(http, allowed)) {
            is HeadersResult.Valid -> use(read.headers)
            is HeadersResult.Invalid -> Problem.notRun(HttpStatus.BAD_REQUEST, read.findings.joinToString("; "))
        }

    /** Calls [use] with the complete body, or refuses the request when the body is too large or truncated. */
    fun withBody(use: (ByteArray) -> Response): Response =
        when (val read = readBody(http, bodyLimit)) {
            is BodyResult.Bytes -> use(read.value)
            is BodyResult.TooLarge ->
                Problem.notRun(
                    HttpStatus.TOO_LARGE,
                    "found a body of more than ${read.limit} bytes, expected at most that",
                )
            is BodyResult.Truncated ->
                Problem.notRun(HttpStatus.BAD_REQUEST, "expected the whole body, found its beginning: ${read.reason}")
        }
}
