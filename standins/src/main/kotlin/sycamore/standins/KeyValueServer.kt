package sycamore.standins

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes
import sycamore.platform.StoreHandler
import sycamore.services.KeyValue

/** Serves a key-value service as the platform's store does. Its faults are read and replaced at [FAULTS]. */
class KeyValueServer(
    store: KeyValue,
) {
    private val keys = FaultyKeyValue(store)
    private val interfaceOfStore = StoreHandler(keys).handler

    /** The HTTP interface. */
    val handler: HttpHandler =
        routes(
            FAULTS bind Method.GET to { _: Request -> Response(Status.OK).body(Json.encodeToString(keys.faults)) },
            FAULTS bind Method.PUT to ::switchFaults,
            "/{path:.*}" bind interfaceOfStore,
        )

    private fun switchFaults(request: Request): Response =
        try {
            val faults = Json.decodeFromString<KeyValueFaults>(request.bodyString())
            runBlocking { keys.setFaults(faults) }
            Response(Status.OK)
        } catch (e: IllegalArgumentException) {
            Response(Status.BAD_REQUEST).body("expected faults as JSON: ${e.message}")
        }

    companion object {
        /** Path of [KeyValueFaults] as JSON: GET and PUT. */
        const val FAULTS = "/faults"
    }
}
