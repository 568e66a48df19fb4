package sycamore.entry

import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.path
import sycamore.links.Part
import sycamore.model.Service
import sycamore.model.ServiceKind
import sycamore.model.ServiceName
import java.net.URLDecoder
import sycamore.programs.Request as CallRequest

/** Handles calls of plain services, whose kind is [ServiceKind.SERVICE]. */
internal class ServiceHttp(
    private val calls: CallHttp,
) {
    /** Handles [request], a call of the service that its path names. */
    fun call(request: CallerRequest): Response {
        val name = request.http.path("name").orEmpty()
        val service =
            request.configuration.service(ServiceName(name))?.takeIf { it.kind == ServiceKind.SERVICE }
                ?: return Problem.notRun(HttpStatus.NOT_FOUND, unknownService(name, request))
        val path =
            request.http.uri.path
                .removePrefix("$PREFIX/$name")
        if (!hasNormalSegments(
                path,
            )
        ) {
            return Problem.notRun(
                HttpStatus.BAD_REQUEST,
                "found path '$path', expected one without empty, '.' and '..' segments",
            )
        }
        return request.withHeaders(CallHeaders.allowedOnPlainCall) { headers ->
            missingHeader(service, request, path, headers)?.let { Problem.notRun(HttpStatus.BAD_REQUEST, it) }
                ?: request.withBody { body ->
                    forward(request, service, headers, callRequest(request, path, body))
                }
        }
    }

    private fun hasNormalSegments(path: String): Boolean {
        val segments = path.removePrefix("/").split('/')
        return segments.dropLast(1).none { it.isEmpty() } &&
            segments.none { URLDecoder.decode(it, Charsets.UTF_8) in DOT_SEGMENTS }
    }

    /** Names the header that a call without idempotency lacks; null when it lacks none or the call is idempotent. */
    private fun missingHeader(
        service: Service,
        request: CallerRequest,
        path: String,
        headers: CallHeaders,
    ): String? {
        val method = request.http.method.name
        if (service.contract(method, path).idempotent) return null
        val call = "$method $path of service ${service.name} is not idempotent"
        return when {
            headers.program == null ->
                "$call: found no Sycamore-Program, expected one; POST ${ProgramHttp.PATH} with " +
                    "{\"service\":\"${service.name}\"} starts a program, and every answer names its own"
            headers.key == null -> "$call: found no Idempotency-Key, expected one that no other call of the program has"
            else -> null
        }
    }

    private fun callRequest(
        request: CallerRequest,
        path: String,
        body: ByteArray,
    ): CallRequest {
        val query = request.http.uri.query
        val target = if (query.isEmpty()) path else "$path?$query"
        return CallRequest(request.http.method.name, target, request.http.header("content-type") ?: BINARY, body)
    }

    private fun forward(
        request: CallerRequest,
        service: Service,
        headers: CallHeaders,
        call: CallRequest,
    ): Response =
        calls.forward(request, service, headers, call) { _, replies, begun ->
            val head = Response(Status(begun.status, null)).header("content-type", begun.contentType)
            ReplyStream.respond(head, replies, PlainReplyEncoder)
        }

    private fun unknownService(
        name: String,
        request: CallerRequest,
    ): String {
        val known = request.configuration.services.filter { it.kind == ServiceKind.SERVICE }
        return "found service '$name', expected one of ${known.joinToString { "'${it.name}'" }}"
    }

    companion object {
        /** The path prefix before the name of a service. */
        const val PREFIX = "/services"

        private const val BINARY = "application/octet-stream"
        private val DOT_SEGMENTS = setOf(".", "..")
    }
}

/** Passes the bytes of a plain call's answer on unchanged. */
private object PlainReplyEncoder : ReplyEncoder {
    override fun encodePart(part: Part): ByteArray = part.bytes
}
