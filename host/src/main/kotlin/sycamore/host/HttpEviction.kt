package sycamore.host

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.runInterruptible
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import sycamore.model.ProgramId
import sycamore.model.Upstream

/** Requests model engines over HTTP to evict the cache of a program: `DELETE /v1/cache/<program>`. */
internal class HttpEviction(
    private val http: HttpHandler,
    private val blocking: CoroutineDispatcher,
) {
    /** See [EvictCache]. */
    suspend fun evict(
        upstream: Upstream,
        program: ProgramId,
    ): Boolean =
        try {
            val request = Request(Method.DELETE, "http://${upstream.address}/v1/cache/$program")
            runInterruptible(blocking) { http(request) }.status.successful
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            false
        }
}
