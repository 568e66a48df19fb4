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

/**
 * A fake of a plain service whose POST calls are not idempotent. It counts how often each request body was
 * executed, which shows calls that were executed more than once.
 */
class OrderServer {
    private val executions = ConcurrentHashMap<String, AtomicInteger>()

    /** Handles the HTTP requests: POST to any path executes an order, and GET `/runs` returns the counts. */
    val handler: HttpHandler =
        routes(
            "/runs" bind Method.GET to { _: Request -> Response(Status.OK).body(report()) },
            "/{path:.*}" bind Method.POST to ::executeOrder,
            "/{path:.*}" bind Method.GET to
                { request: Request -> Response(Status.OK).body("{\"path\":\"${request.uri.path}\"}") },
        )

    /** The number of times that the order with [body] was executed. */
    fun executionCount(body: String): Int = executions[body]?.get() ?: 0

    private fun executeOrder(request: Request): Response {
        val body = request.bodyString()
        val count = executions.computeIfAbsent(body) { AtomicInteger() }.incrementAndGet()
        return Response(Status.CREATED)
            .header("content-type", "application/json")
            .body("{\"order\":${executions.size},\"runs\":$count}")
    }

    private fun report(): String =
        executions.entries.sortedBy { it.key }.joinToString("\n") { "${it.value.get()} ${it.key}" }
}
