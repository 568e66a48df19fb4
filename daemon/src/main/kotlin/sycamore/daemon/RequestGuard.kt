package sycamore.daemon

import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.http.HttpVersion
import org.eclipse.jetty.io.Connection
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.handler.ErrorHandler
import org.eclipse.jetty.util.Callback
import java.util.concurrent.atomic.AtomicInteger
import org.http4k.core.Response as HttpResponse

/** Builds the response to a request that the server refuses before the handler is called. */
typealias RefusalBuilder = (status: Int, detail: String) -> HttpResponse

/** Counts the open connections of a server. */
internal class OpenConnections : Connection.Listener {
    private val open = AtomicInteger()

    /** The number of open connections. */
    val count: Int get() = open.get()

    override fun onOpened(connection: Connection) {
        open.incrementAndGet()
    }

    override fun onClosed(connection: Connection) {
        open.decrementAndGet()
    }
}

/** Refuses requests that exceed the limits of the server, and those of HTTP versions without chunked bodies. */
internal class RequestGuard(
    private val limits: HttpLimits,
    private val connections: OpenConnections,
    private val refuse: RefusalBuilder,
    next: Handler,
) : Handler.Wrapper(next) {
    private val inProgress = AtomicInteger()

    override fun handle(
        request: Request,
        response: Response,
        callback: Callback,
    ): Boolean {
        if (Request.getPathInContext(request) in probePaths) return super.handle(request, response, callback)
        if (connections.count > limits.connections) {
            response.headers.put(HttpHeader.CONNECTION, "close")
            return refuse(
                SERVICE_UNAVAILABLE,
                "found more than ${limits.connections} open connections",
                response,
                callback,
            )
        }
        if (request.connectionMetaData.httpVersion.version < HttpVersion.HTTP_1_1.version) {
            return refuse(VERSION_NOT_SUPPORTED, "found an HTTP version before 1.1, expected 1.1", response, callback)
        }
        return handleWithinRequestLimit(request, response, callback)
    }

    private fun handleWithinRequestLimit(
        request: Request,
        response: Response,
        callback: Callback,
    ): Boolean {
        try {
            if (inProgress.incrementAndGet() > limits.requests) {
                return refuse(SERVICE_UNAVAILABLE, "found ${limits.requests} requests in progress", response, callback)
            }
            return super.handle(request, response, callback)
        } finally {
            inProgress.decrementAndGet()
        }
    }

    private fun refuse(
        status: Int,
        detail: String,
        response: Response,
        callback: Callback,
    ): Boolean {
        write(refuse(status, detail), response, callback)
        return true
    }

    internal companion object {
        private const val SERVICE_UNAVAILABLE = 503
        private const val VERSION_NOT_SUPPORTED = 505

        /** Paths that load balancers request. They are served also during overload and over HTTP/1.0. */
        private val probePaths = setOf("/healthz", "/readyz", "/metrics")

        /** Writes [source] as the complete [response]. */
        fun write(
            source: HttpResponse,
            response: Response,
            callback: Callback,
        ) {
            response.status = source.status.code
            source.headers.forEach { (name, value) -> response.headers.put(name, value.orEmpty()) }
            Content.Sink.write(response, true, source.bodyString(), callback)
        }
    }
}

/** Responds with [refuse] to requests that Jetty itself refuses, such as those with too long headers. */
internal class RefusalErrorHandler(
    private val limits: HttpLimits,
    private val refuse: RefusalBuilder,
) : ErrorHandler() {
    override fun generateResponse(
        request: Request,
        response: Response,
        code: Int,
        message: String?,
        cause: Throwable?,
        callback: Callback,
    ) = RequestGuard.write(refuse(code, detail(code, message)), response, callback)

    private fun detail(
        code: Int,
        message: String?,
    ): String =
        when (code) {
            HEADERS_TOO_LARGE, URI_TOO_LONG ->
                "found a request line and headers of more than ${limits.headerBytes} bytes, expected at most that"
            else -> "the server refused the request: ${message ?: "status $code"}"
        }

    private companion object {
        const val URI_TOO_LONG = 414
        const val HEADERS_TOO_LARGE = 431
    }
}
