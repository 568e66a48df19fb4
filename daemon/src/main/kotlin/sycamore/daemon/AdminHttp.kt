package sycamore.daemon

import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes

/**
 * HTTP routes for the health, readiness and metrics of a daemon.
 *
 * @param isLeaving whether the daemon accepts no new work; it then reports that it is not ready.
 */
class AdminHttp(
    private val inForce: InForce,
    private val metrics: Metrics = Metrics(),
    private val isLeaving: () -> Boolean = { false },
) {
    /** The routes `/healthz`, `/readyz` and `/metrics`. */
    val handler: RoutingHttpHandler =
        routes(
            "/healthz" bind Method.GET to { _: Request -> text(Status.OK, "ok\n") },
            "/readyz" bind Method.GET to { _: Request -> readiness() },
            "/metrics" bind Method.GET to { _: Request -> text(Status.OK, metrics.scrape()) },
        )

    private fun readiness(): Response {
        val configuration = inForce.configuration.value
        return when {
            isLeaving() -> text(Status.SERVICE_UNAVAILABLE, "leaving\n")
            configuration == null -> text(Status.SERVICE_UNAVAILABLE, "no configuration is in force\n")
            else -> text(Status.OK, "generation ${configuration.generation}\n")
        }
    }

    private fun text(
        status: Status,
        body: String,
    ) = Response(status).header("content-type", "text/plain; version=0.0.4; charset=utf-8").body(body)
}
