package sycamore.daemon

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes

/** Health, readiness and metrics of a daemon. */
class AdminHttp(
    private val inForce: InForce,
    val metrics: PrometheusMeterRegistry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
) {
    /** `/healthz`, `/readyz` and `/metrics`. */
    val handler: RoutingHttpHandler =
        routes(
            "/healthz" bind Method.GET to { _: Request -> Response(Status.OK).body("ok\n") },
            "/readyz" bind Method.GET to { _: Request -> readiness() },
            "/metrics" bind Method.GET to { _: Request -> Response(Status.OK).body(metrics.scrape()) },
        )

    private fun readiness(): Response {
        val configuration = inForce.configuration.value
        if (configuration == null) return Response(Status.SERVICE_UNAVAILABLE).body("no configuration is in force\n")
        return Response(Status.OK).body("generation ${configuration.generation}\n")
    }
}
