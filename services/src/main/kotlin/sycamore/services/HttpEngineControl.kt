package sycamore.services

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.runInterruptible
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import sycamore.model.Address

/** The reply of an engine to a control request. */
sealed interface EngineReply<out T> {
    /** The engine carried out the request. */
    data class Done<T>(
        val value: T,
    ) : EngineReply<T>

    /** The engine refused, with an HTTP status and a reason. An order with an old fencing number gets status 409. */
    data class Refused(
        val status: Int,
        val reason: String,
    ) : EngineReply<Nothing>

    /** The request could not be sent or its answer was lost, so the engine may have carried it out. */
    data class Unreachable(
        val reason: String,
    ) : EngineReply<Nothing>
}

/** A client of the control interface of the model engine at [address], see [EngineWire]. */
class HttpEngineControl(
    private val address: Address,
    private val http: HttpHandler,
    private val blocking: CoroutineDispatcher,
) {
    /** Cancels the call with id [call]. The value is false when the engine has no such call in progress. */
    suspend fun cancel(call: String): EngineReply<Boolean> {
        val reply = send(Request(Method.DELETE, url("${EngineWire.CALLS}/$call"))) { true }
        val isNotFound = reply is EngineReply.Refused && reply.status == Status.NOT_FOUND.code
        return if (isNotFound) EngineReply.Done(false) else reply
    }

    /** The available cache events with numbers above [after]. */
    suspend fun events(after: Long): EngineReply<List<CacheEvent>> =
        send(Request(Method.GET, url(EngineWire.EVENTS)).query("after", "$after")) { decode(it) }

    /** The contents of the cache. */
    suspend fun listing(): EngineReply<CacheListing> = send(Request(Method.GET, url(EngineWire.CACHE))) { decode(it) }

    /** The load that the engine reports. The report is delayed. */
    suspend fun load(): EngineReply<EngineLoad> = send(Request(Method.GET, url(EngineWire.LOAD))) { decode(it) }

    /** Evicts the cache of [program]. */
    suspend fun evict(program: String): EngineReply<Unit> =
        send(Request(Method.DELETE, url("${EngineWire.CACHE}/$program"))) { }

    /** Exports the cache of [program], to be imported into another engine. */
    suspend fun export(program: String): EngineReply<ExportedCache> =
        send(Request(Method.GET, url("${EngineWire.CACHE}/$program"))) { decode(it) }

    /** Imports a cache that another engine exported. */
    suspend fun import(cache: ExportedCache): EngineReply<Unit> {
        val body = EngineWire.json.encodeToString(cache)
        return send(Request(Method.PUT, url("${EngineWire.CACHE}/${cache.program}")).body(body)) { }
    }

    /** Sends [order] to the engine. */
    suspend fun sendOrder(order: EngineOrder): EngineReply<Unit> {
        val body = EngineWire.json.encodeToString<EngineOrder>(order)
        return send(Request(Method.POST, url(EngineWire.ORDERS)).body(body)) { }
    }

    private fun url(path: String) = "http://$address$path"

    private inline fun <reified T> decode(response: Response): T =
        EngineWire.json.decodeFromString(response.bodyString())

    private suspend fun <T> send(
        request: Request,
        readBody: (Response) -> T,
    ): EngineReply<T> =
        try {
            val response = runInterruptible(blocking) { http(request).let { it.body(it.bodyString()) } }
            if (response.status.successful) {
                EngineReply.Done(readBody(response))
            } else {
                EngineReply.Refused(response.status.code, response.bodyString())
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            EngineReply.Unreachable(e.message ?: "${e::class.simpleName}")
        }
}
