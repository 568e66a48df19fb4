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

/** What an engine answers to a request beside chat completions. */
sealed interface EngineReply<out T> {
    /** It did what was asked. */
    data class Done<T>(
        val value: T,
    ) : EngineReply<T>

    /** It refused, with an HTTP status and a reason. An order with an old fencing number gets status 409. */
    data class Refused(
        val status: Int,
        val reason: String,
    ) : EngineReply<Nothing>

    /** It could not be asked, or its answer was lost: it may have done it. */
    data class Unreachable(
        val reason: String,
    ) : EngineReply<Nothing>
}

/** Controls the model engine at [address] over HTTP, see [EngineWire]. */
class HttpEngineControl(
    private val address: Address,
    private val http: HttpHandler,
    private val blocking: CoroutineDispatcher,
) {
    /** Cancels the call known as [call]. Done with false when the engine knows no such call in progress. */
    suspend fun cancel(call: String): EngineReply<Boolean> {
        val reply = ask(Request(Method.DELETE, url("${EngineWire.CALLS}/$call"))) { true }
        val isUnknown = reply is EngineReply.Refused && reply.status == Status.NOT_FOUND.code
        return if (isUnknown) EngineReply.Done(false) else reply
    }

    /** The visible cache events above number [after]. */
    suspend fun events(after: Long): EngineReply<List<CacheEvent>> =
        ask(Request(Method.GET, url(EngineWire.EVENTS)).query("after", "$after")) { decode(it) }

    /** All that the cache holds. */
    suspend fun listing(): EngineReply<CacheListing> = ask(Request(Method.GET, url(EngineWire.CACHE))) { decode(it) }

    /** The engine's own report of its load, as it was a while ago. */
    suspend fun load(): EngineReply<EngineLoad> = ask(Request(Method.GET, url(EngineWire.LOAD))) { decode(it) }

    /** Drops the cache of [program]. */
    suspend fun evict(program: String): EngineReply<Unit> =
        ask(Request(Method.DELETE, url("${EngineWire.CACHE}/$program"))) { }

    /** The cache of [program], to be taken over by another engine. */
    suspend fun export(program: String): EngineReply<ExportedCache> =
        ask(Request(Method.GET, url("${EngineWire.CACHE}/$program"))) { decode(it) }

    /** Takes over the cache that another engine exported. */
    suspend fun import(cache: ExportedCache): EngineReply<Unit> {
        val body = EngineWire.json.encodeToString(cache)
        return ask(Request(Method.PUT, url("${EngineWire.CACHE}/${cache.program}")).body(body)) { }
    }

    /** Gives [order] to the engine. */
    suspend fun order(order: EngineOrder): EngineReply<Unit> {
        val body = EngineWire.json.encodeToString<EngineOrder>(order)
        return ask(Request(Method.POST, url(EngineWire.ORDERS)).body(body)) { }
    }

    private fun url(path: String) = "http://$address$path"

    private inline fun <reified T> decode(response: Response): T =
        EngineWire.json.decodeFromString(response.bodyString())

    private suspend fun <T> ask(
        request: Request,
        read: (Response) -> T,
    ): EngineReply<T> =
        try {
            val response = runInterruptible(blocking) { http(request).let { it.body(it.bodyString()) } }
            if (response.status.successful) {
                EngineReply.Done(read(response))
            } else {
                EngineReply.Refused(response.status.code, response.bodyString())
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            EngineReply.Unreachable(e.message ?: "${e::class.simpleName}")
        }
}
