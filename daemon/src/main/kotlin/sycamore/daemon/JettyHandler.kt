package sycamore.daemon

import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.util.Callback
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.eclipse.jetty.server.Request as JettyRequest
import org.eclipse.jetty.server.Response as JettyResponse

/**
 * Runs an http4k handler in Jetty and streams the body of its response.
 *
 * If reading the response's body fails, the connection is aborted. http4k's own handler would close the body instead,
 * which completes the response, so that a client would take the truncated body for a complete one.
 */
internal class JettyHandler(
    private val handler: HttpHandler,
) : Handler.Abstract() {
    override fun handle(
        request: JettyRequest,
        response: JettyResponse,
        callback: Callback,
    ): Boolean {
        try {
            write(call(request), response)
            callback.succeeded()
        } catch (e: Exception) {
            callback.failed(e)
        }
        return true
    }

    private fun call(request: JettyRequest): Response {
        val method = Method.entries.firstOrNull { it.name == request.method } ?: return Response(Status.NOT_IMPLEMENTED)
        val headers = request.headers.map { it.name to it.value }
        val length = request.length.takeIf { it >= 0 }
        return handler(
            Request(method, request.httpURI.pathQuery)
                .headers(headers)
                .body(Content.Source.asInputStream(request), length),
        )
    }

    private fun write(
        source: Response,
        response: JettyResponse,
    ) {
        source.body.stream.use { body ->
            response.status = source.status.code
            source.headers.forEach { (name, value) -> response.headers.add(name, value.orEmpty()) }
            val output = Content.Sink.asOutputStream(response)
            body.copyTo(output)
            output.close()
        }
    }
}
