package sycamore.standins

import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** A plain service whose POST calls may not be repeated. It counts how often each body was carried out. */
class OrderServer {
    private val runs = ConcurrentHashMap<String, AtomicInteger>()

    /** The HTTP interface: POST anywhere carries out an order, GET `/runs` tells the counts. */
    val handler: HttpHandler =
        routes(
            "/runs" bind Method.GET to { _: Request -> Response(Status.OK).body(report()) },
            "/{path:.*}" bind Method.POST to ::carryOut,
            "/{path:.*}" bind Method.GET to
                { request: Request -> Response(Status.OK).body("{\"path\":\"${request.uri.path}\"}") },
        )

    /** How often the order with [body] was carried out. */
    fun runsOf(body: String): Int = runs[body]?.get() ?: 0

    private fun carryOut(request: Request): Response {
        val body = request.bodyString()
        val count = runs.computeIfAbsent(body) { AtomicInteger() }.incrementAndGet()
        return Response(Status.CREATED)
            .header("content-type", "application/json")
            .body("{\"order\":${runs.size},\"runs\":$count}")
    }

    private fun report(): String = runs.entries.sortedBy { it.key }.joinToString("\n") { "${it.value.get()} ${it.key}" }
}
