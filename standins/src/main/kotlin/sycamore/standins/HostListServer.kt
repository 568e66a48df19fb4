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

/** Serves the platform's list of hosts. A test or demo replaces the whole list with PUT. */
class HostListServer(
    initial: List<ListedHost> = emptyList(),
) {
    private val hosts = AtomicReference(initial)

    /** The HTTP interface. */
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
