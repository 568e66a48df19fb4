package sycamore.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes
import sycamore.daemon.InForce
import sycamore.model.Caller
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** Handles a request whose account is known. */
private typealias CallerHandler = (CallerRequest) -> Response

/** The callers' interface over HTTP. */
internal class EntryHttp(
    private val inForce: InForce,
    daemon: EntryDaemon,
    private val limits: AccountLimits,
    private val bodyBytes: Long,
    private val meters: EntryMeters,
    clock: Clock = Clock.System,
    private val time: TimeSource = TimeSource.Monotonic,
) {
    private val accounts = Accounts()
    private val calls = CallHttp(daemon)
    private val chat = ChatHttp(calls, clock)
    private val services = ServiceHttp(calls)
    private val programs = ProgramHttp(daemon)

    /** Routes chat completions, models and programs below `/v1`, and plain services at `/services/<name>/`. */
    val handler: RoutingHttpHandler =
        routes(
            ChatHttp.PATH bind methods(Method.POST to chat::complete),
            "/v1/models" bind methods(Method.GET to ModelsHttp::list),
            ProgramHttp.PATH bind methods(Method.POST to programs::start),
            "${ProgramHttp.PATH}/{id}" bind methods(Method.GET to programs::show, Method.DELETE to programs::end),
            "${ServiceHttp.PREFIX}/{name}/{path:.*}" bind { request: Request ->
                authenticated(request, services::call)
            },
            "/{path:.*}" bind { request: Request -> unknownPath(request) },
        )

    private fun methods(vararg handlers: Pair<Method, CallerHandler>): HttpHandler {
        val known = handlers.toMap()
        return { request ->
            val handler = known[request.method]
            if (handler == null) wrongMethod(request, known.keys) else authenticated(request, handler)
        }
    }

    private fun authenticated(
        request: Request,
        handler: CallerHandler,
    ): Response {
        val configuration =
            inForce.configuration.value
                ?: return Problem.notRun(HttpStatus.UNAVAILABLE, "no configuration is in force yet")
        val caller = accounts.find(request, configuration) ?: return unauthorized()
        val trace = RequestTrace(request.method.name, request.uri.path, caller.name, time)
        val callerRequest = CallerRequest(request, caller, configuration, trace, bodyBytes.toInt())
        return measured(trace) { admitted(caller) { handler(callerRequest) } }
    }

    /** Calls [run] and measures the request until the response is written. */
    private fun measured(
        trace: RequestTrace,
        run: () -> Response,
    ): Response {
        meters.begin()
        val response = catchingFailures(trace, run)
        return onClosed(response) { meters.end(trace, response) }
    }

    private fun catchingFailures(
        trace: RequestTrace,
        run: () -> Response,
    ): Response =
        try {
            run()
        } catch (e: Exception) {
            log.error(e) { "${trace.method} ${trace.path} failed" }
            Problem.response(Refusal(Outcome.UNKNOWN, HttpStatus.INTERNAL_ERROR, "the entry failed: ${e.message}"))
        }

    private fun onClosed(
        response: Response,
        run: () -> Unit,
    ): Response = response.body(ClosingStream(response.body.stream, run), response.body.length)

    private fun admitted(
        caller: Caller,
        run: () -> Response,
    ): Response =
        when (val admission = limits.admit(caller)) {
            is Admission.Admitted -> holdingAdmission(admission, run)
            is Admission.TooFast ->
                tooMany(
                    "found more than ${admission.perSecond} requests a second of account ${caller.name}",
                    admission.wait,
                )
            is Admission.TooMany ->
                tooMany(
                    "found ${admission.limit} requests of account ${caller.name} in progress",
                    CONCURRENCY_RETRY_AFTER,
                )
            is Admission.Closed ->
                Problem.notRun(HttpStatus.FORBIDDEN, "account ${caller.name} is closed: its rate is 0")
        }

    /** Calls [run] and closes [admission] once the response is written, or when [run] fails. */
    private fun holdingAdmission(
        admission: Admission.Admitted,
        run: () -> Response,
    ): Response {
        var isClosedWithResponse = false
        try {
            val response = run()
            isClosedWithResponse = true
            return onClosed(response, admission::close)
        } finally {
            if (!isClosedWithResponse) admission.close()
        }
    }

    private fun tooMany(
        detail: String,
        wait: Duration,
    ) = Problem.response(Refusal(Outcome.NOT_RUN, HttpStatus.TOO_MANY_REQUESTS, detail, wait))

    private fun unauthorized(): Response =
        Problem
            .notRun(
                HttpStatus.UNAUTHORIZED,
                "expected the header 'Authorization: Bearer KEY' with an account's API key",
            ).header("www-authenticate", "Bearer")

    private fun wrongMethod(
        request: Request,
        expected: Set<Method>,
    ): Response {
        val allowed = expected.joinToString(", ")
        return Problem
            .notRun(HttpStatus.METHOD_NOT_ALLOWED, "found method ${request.method}, expected $allowed")
            .header("allow", allowed)
    }

    private fun unknownPath(request: Request): Response =
        Problem.notRun(
            HttpStatus.NOT_FOUND,
            "found path '${request.uri.path}', expected ${ChatHttp.PATH}, /v1/models, ${ProgramHttp.PATH} " +
                "or ${ServiceHttp.PREFIX}/NAME/...",
        )

    private companion object {
        val CONCURRENCY_RETRY_AFTER = 1.seconds
    }
}
