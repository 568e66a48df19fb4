package sycamore.entry

import org.http4k.core.Request
import org.http4k.core.Response
import sycamore.model.Caller
import sycamore.model.Configuration

/** A request of [caller], to be answered by [configuration]. */
internal class CallerRequest(
    val http: Request,
    val caller: Caller,
    val configuration: Configuration,
    val trace: RequestTrace,
    private val bodyLimit: Int,
) {
    /** Runs [use] with the headers, or refuses the request when one is wrong. */
    fun withHeaders(
        allowed: Set<String>,
        use: (CallHeaders) -> Response,
    ): Response =
        when (val read = HeaderReader.read(http, allowed)) {
            is ReadHeaders.Valid -> use(read.headers)
            is ReadHeaders.Invalid -> Problem.notRun(HttpStatus.BAD_REQUEST, read.findings.joinToString("; "))
        }

    /** Runs [use] with the whole body, or refuses the request when it is too large or broke off. */
    fun withBody(use: (ByteArray) -> Response): Response =
        when (val read = readBody(http, bodyLimit)) {
            is ReadBody.Bytes -> use(read.value)
            is ReadBody.TooLarge ->
                Problem.notRun(
                    HttpStatus.TOO_LARGE,
                    "found a body of more than ${read.limit} bytes, expected at most that",
                )
            is ReadBody.BrokenOff ->
                Problem.notRun(HttpStatus.BAD_REQUEST, "expected the whole body, found its beginning: ${read.reason}")
        }
}
