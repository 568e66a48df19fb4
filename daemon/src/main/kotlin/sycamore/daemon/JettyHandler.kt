package sycamore.daemon

import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import org.http4k.core.HttpHandler
import org.http4k.core.Status
import org.http4k.server.asHttp4kRequest

/**
 * Runs an http4k handler in Jetty and writes the bytes of its response as they come.
 *
 * When reading the response's body fails, the connection is cut off. http4k's own handler would close the body instead,
 * which completes it, so that a client takes the part for the whole.
 */
internal class JettyHandler(
    private val handler: HttpHandler,
) : Handler.Abstract() {
    override fun handle(
        request: Request,
        response: Response,
        callback: Callback,
    ): Boolean {
        try {
            val answer = request.asHttp4kRequest()?.let(handler) ?: org.http4k.core.Response(Status.NOT_IMPLEMENTED)
            write(answer, response)
            callback.succeeded()
        } catch (e: Exception) {
            callback.failed(e)
        }
        return true
    }

    private fun write(
        answer: org.http4k.core.Response,
        response: Response,
    ) {
        response.status = answer.status.code
        answer.headers.forEach { (name, value) -> response.headers.add(name, value.orEmpty()) }
        val output = Content.Sink.asOutputStream(response)
        answer.body.stream.use { it.copyTo(output) }
        output.close()
    }
}
