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

/**
 * Serves [store] over HTTP in the format of the platform's store. The injected faults are read and replaced at
 * [FAULTS_PATH].
 */
class KeyValueServer(
    store: KeyValue,
) {
    private val faultyStore = FaultyKeyValue(store)
    private val storeHandler = StoreHandler(faultyStore).handler

    /** Handles the HTTP requests. */
    val handler: HttpHandler =
        routes(
            FAULTS_PATH bind Method.GET to
                { _: Request -> Response(Status.OK).body(Json.encodeToString(faultyStore.faults)) },
            FAULTS_PATH bind Method.PUT to ::replaceFaults,
            "/{path:.*}" bind storeHandler,
        )

    private fun replaceFaults(request: Request): Response =
        try {
            val faults = Json.decodeFromString<KeyValueFaults>(request.bodyString())
            runBlocking { faultyStore.setFaults(faults) }
            Response(Status.OK)
        } catch (e: IllegalArgumentException) {
            Response(Status.BAD_REQUEST).body("expected faults as JSON: ${e.message}")
        }

    companion object {
        /** Path at which GET returns and PUT replaces the [KeyValueFaults], as JSON. */
        const val FAULTS_PATH = "/faults"
    }
}
