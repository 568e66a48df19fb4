package sycamore.host

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOn
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import sycamore.links.Forward
import sycamore.model.Upstream

/** Calls plain services over HTTP. */
internal class HttpService(
    private val http: HttpHandler,
    private val blocking: CoroutineDispatcher,
) {
    /** See [CallUpstream]. */
    fun call(
        upstream: Upstream,
        forward: Forward,
    ): Flow<UpstreamEvent> =
        flow {
            val forwarded = forward.request
            val request =
                Request(Method.valueOf(forwarded.method), "http://${upstream.address}${forwarded.path}")
                    .header("content-type", forwarded.contentType)
                    .header("sycamore-call", forward.id.value)
                    .body(forwarded.body.inputStream())
            val response = http(request)
            val type = response.header("content-type") ?: "application/octet-stream"
            emit(UpstreamEvent.Head(response.status.code, type))
            response.body.stream.use { stream ->
                val buffer = ByteArray(BUFFER_BYTES)
                while (true) {
                    val count = stream.read(buffer)
                    if (count < 0) break
                    emit(UpstreamEvent.Bytes(buffer.copyOf(count)))
                }
            }
            emit(UpstreamEvent.End(response.status.code, type))
        }.flowOn(blocking)

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
    }
}
