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
import sycamore.platform.Item
import sycamore.platform.KeyValue
import sycamore.platform.KeyValueWire
import sycamore.platform.KeyValueWire.WireItems
import sycamore.platform.KeyValueWire.WireWrite
import sycamore.platform.Read
import sycamore.platform.Revision
import sycamore.platform.Write
import kotlin.time.Duration.Companion.milliseconds

/** Serves [keys] over HTTP; see [KeyValueWire] for the interface. Its faults are read and replaced at [FAULTS]. */
class KeyValueServer(
    store: KeyValue,
) {
    private val keys = FaultyKeyValue(store)

    /** The HTTP interface. */
    val handler: HttpHandler =
        routes(
            KeyValueWire.KEYS bind Method.GET to ::read,
            KeyValueWire.KEYS bind Method.PUT to ::put,
            KeyValueWire.KEYS bind Method.DELETE to ::delete,
            KeyValueWire.CHANGES bind Method.GET to ::changes,
            FAULTS bind Method.GET to { _: Request -> Response(Status.OK).body(Json.encodeToString(keys.faults)) },
            FAULTS bind Method.PUT to ::switchFaults,
        )

    private fun switchFaults(request: Request): Response =
        try {
            val faults = Json.decodeFromString<KeyValueFaults>(request.bodyString())
            runBlocking { keys.switch(faults) }
            Response(Status.OK)
        } catch (e: IllegalArgumentException) {
            Response(Status.BAD_REQUEST).body("expected faults as JSON: ${e.message}")
        }

    private fun read(request: Request): Response =
        runBlocking {
            val prefix = request.query("prefix")
            if (prefix != null) return@runBlocking items(keys.list(prefix))
            val key = request.query("key") ?: return@runBlocking missing("key")
            when (val read = keys.get(key)) {
                is Read.Found -> items(Read.Found(listOfNotNull(read.value), read.revision))
                is Read.Unreachable -> items(read)
            }
        }

    private fun changes(request: Request): Response =
        runBlocking {
            val prefix = request.query("prefix") ?: return@runBlocking missing("prefix")
            val after = request.query("after")?.toLongOrNull() ?: return@runBlocking missing("after")
            val wait = request.query("wait_ms")?.toLongOrNull() ?: return@runBlocking missing("wait_ms")
            items(keys.changes(prefix, Revision(after), wait.milliseconds))
        }

    private fun put(request: Request): Response =
        runBlocking {
            val key = request.query("key") ?: return@runBlocking missing("key")
            val expected = request.query("expected")?.toLongOrNull() ?: return@runBlocking missing("expected")
            val lease = request.query("lease_ms")?.toLongOrNull()?.milliseconds
            val value = request.body.stream.readBytes()
            if (value.size > KeyValue.MAX_VALUE_BYTES) return@runBlocking Response(Status.REQUEST_ENTITY_TOO_LARGE)
            written(keys.put(key, value, Revision(expected), lease))
        }

    private fun delete(request: Request): Response =
        runBlocking {
            val key = request.query("key") ?: return@runBlocking missing("key")
            val expected = request.query("expected")?.toLongOrNull() ?: return@runBlocking missing("expected")
            written(keys.delete(key, Revision(expected)))
        }

    private fun items(read: Read<List<Item>>): Response =
        when (read) {
            is Read.Found -> {
                val body = WireItems(read.revision.value, read.value.map(KeyValueWire::of))
                Response(Status.OK).body(KeyValueWire.json.encodeToString(body))
            }
            is Read.Unreachable -> Response(Status.SERVICE_UNAVAILABLE).body(read.reason)
        }

    private fun written(write: Write): Response =
        when (write) {
            is Write.Taken -> answer(Status.OK, WireWrite(version = write.version.value))
            is Write.Conflict -> answer(Status.CONFLICT, WireWrite(current = write.current?.let(KeyValueWire::of)))
            is Write.NotSent -> Response(Status.TOO_MANY_REQUESTS).body(write.reason)
            is Write.NotKnown -> Response(Status.GATEWAY_TIMEOUT).body(write.reason)
        }

    private fun answer(
        status: Status,
        body: WireWrite,
    ): Response = Response(status).body(KeyValueWire.json.encodeToString(body))

    private fun missing(name: String): Response =
        Response(Status.BAD_REQUEST).body("expected the query parameter '$name', found none")

    companion object {
        /** Path of [KeyValueFaults] as JSON: GET and PUT. */
        const val FAULTS = "/faults"
    }
}
