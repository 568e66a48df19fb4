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
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import kotlin.time.Clock

private val log = KotlinLogging.logger {}

/** Answers a request whose account is known. */
private typealias CallerHandler = (CallerRequest) -> Response

/** The callers' interface over HTTP. */
internal class EntryHttp(
    private val inForce: InForce,
    daemon: EntryDaemon,
    clock: Clock = Clock.System,
) {
    private val calls = CallHttp(daemon)
    private val chat = ChatHttp(calls, clock)
    private val services = ServiceHttp(calls)
    private val programs = ProgramHttp(daemon)

    /** Chat completions, models and programs below `/v1`, plain services at `/services/<name>/`. */
    val handler: RoutingHttpHandler =
        routes(
            ChatHttp.PATH bind methods(Method.POST to chat::complete),
            "/v1/models" bind methods(Method.GET to ModelsHttp::list),
            ProgramHttp.PATH bind methods(Method.POST to programs::start),
            "${ProgramHttp.PATH}/{id}" bind methods(Method.GET to programs::show, Method.DELETE to programs::end),
            "${ServiceHttp.PREFIX}/{name}/{path:.*}" bind guarded { request -> authenticated(request, services::call) },
            "/{path:.*}" bind { request: Request -> unknownPath(request) },
        )

    private fun methods(vararg handlers: Pair<Method, CallerHandler>): HttpHandler {
        val known = handlers.toMap()
        return guarded { request ->
            val handler = known[request.method]
            if (handler == null) wrongMethod(request, known.keys) else authenticated(request, handler)
        }
    }

    private fun guarded(handler: HttpHandler): HttpHandler =
        { request ->
            try {
                handler(request)
            } catch (e: Exception) {
                log.error(e) { "${request.method} ${request.uri.path} failed" }
                Problem.response(Refusal(Outcome.UNKNOWN, HttpStatus.INTERNAL_ERROR, "the entry failed: ${e.message}"))
            }
        }

    private fun authenticated(
        request: Request,
        handler: CallerHandler,
    ): Response {
        val configuration =
            inForce.configuration.value
                ?: return Problem.notRun(HttpStatus.UNAVAILABLE, "no configuration is in force yet")
        val caller = Accounts.of(request, configuration) ?: return unauthorized()
        return handler(CallerRequest(request, caller, configuration, BODY_BYTES))
    }

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
        const val BODY_BYTES = 4 * 1024 * 1024
    }
}
