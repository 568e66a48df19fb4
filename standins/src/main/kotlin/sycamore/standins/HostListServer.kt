package sycamore.standins

import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes
import sycamore.services.HttpHostList
import sycamore.services.ListedHost
import sycamore.services.wireJson
import java.util.concurrent.atomic.AtomicReference

/** A fake of the platform's host list. GET returns the list; with PUT, a test or demo replaces all of it. */
class HostListServer(
    initial: List<ListedHost> = emptyList(),
) {
    private val hosts = AtomicReference(initial)

    /** Handles the HTTP requests. */
    val handler: HttpHandler =
        routes(
            HttpHostList.PATH bind Method.GET to { _: Request ->
                Response(Status.OK).body(wireJson.encodeToString(hosts.get()))
            },
            HttpHostList.PATH bind Method.PUT to { request: Request ->
                hosts.set(wireJson.decodeFromString(request.bodyString()))
                Response(Status.OK)
            },
        )
}
