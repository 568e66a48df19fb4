package sycamore.forwarding

import org.eclipse.jetty.client.BytesRequestContent
import org.eclipse.jetty.client.CompletableResponseListener
import org.eclipse.jetty.client.ContentResponse
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.http4k.core.HttpHandler
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import sycamore.daemon.InterimResponses
import java.net.ConnectException
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeoutException

/**
 * The HTTP client for the platform's key-value store.
 *
 * http4k's own client buffers responses of at most 2 MiB. A page of the store is longer if its values do not compress.
 */
internal class StoreHttp : HttpHandler {
    private val transport = ClientTransport(onStrayBytes = AnswerRecord::logStrayBytes)
    private val client =
        HttpClient(transport).apply {
            executor = QueuedThreadPool(MAX_THREADS, MIN_THREADS)
            isFollowRedirects = false
            maxResponseHeadersSize = UpstreamClient.MAX_HEAD_BYTES
            start()
            InterimResponses.skip(this)
        }

    /**
     * Sends [request] on a connection with TCP keep-alive probes.
     *
     * A call that is interrupted, since it got no answer in time, closes its connection and those without a call. What has
     * silenced one open connection may have silenced all of them, although their peers' systems may answer the probes.
     */
    override fun invoke(request: Request): Response {
        val jetty = client.newRequest(request.uri.toString()).method(request.method.name)
        jetty.headers { fields -> request.headers.forEach { (name, value) -> fields.add(name, value.orEmpty()) } }
        val body = request.body.payload
        if (body.hasRemaining()) {
            jetty.body(
                BytesRequestContent(null as String?, ByteArray(body.remaining()).also(body::get)),
            )
        }
        val response = CompletableResponseListener(jetty, MAX_RESPONSE_BYTES).send()
        try {
            return response.get().toHttp4k()
        } catch (e: InterruptedException) {
            jetty.abort(e)
            transport.closeIdleConnections()
            throw e
        } catch (e: ExecutionException) {
            if (e.cause is ConnectException) return Response(Status.CONNECTION_REFUSED)
            if (e.cause is TimeoutException) transport.closeIdleConnections()
            throw e.cause ?: e
        }
    }

    private fun ContentResponse.toHttp4k(): Response =
        headers.fold(
            Response(Status(status, reason)).body(content.inputStream(), content.size.toLong()),
        ) { response, field ->
            response.header(field.name, field.value)
        }

    private companion object {
        const val MAX_THREADS = 8
        const val MIN_THREADS = 2

        /** Several times the size of a page of the store, which holds 1 MB of values as base64 text. */
        const val MAX_RESPONSE_BYTES = 16 * 1024 * 1024
    }
}
