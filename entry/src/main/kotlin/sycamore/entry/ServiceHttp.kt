package sycamore.entry

import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.path
import sycamore.links.Part
import sycamore.model.Service
import sycamore.model.ServiceKind
import sycamore.model.ServiceName
import java.net.URLDecoder
import sycamore.programs.Request as Asked

/** Calls of plain services. */
internal class ServiceHttp(
    private val calls: CallHttp,
) {
    /** Answers one call of the service that the path names. */
    fun call(request: CallerRequest): Response {
        val name = request.http.path("name").orEmpty()
        val service =
            request.configuration.service(ServiceName(name))?.takeIf { it.kind == ServiceKind.SERVICE }
                ?: return Problem.notRun(HttpStatus.NOT_FOUND, unknownService(name, request))
        val path =
            request.http.uri.path
                .removePrefix("$PREFIX/$name")
        if (!isPlain(
                path,
            )
        ) {
            return Problem.notRun(
                HttpStatus.BAD_REQUEST,
                "found path '$path', expected one without empty, '.' and '..' segments",
            )
        }
        return request.withHeaders(CallHeaders.plain) { headers ->
            missing(service, request, path, headers)?.let { Problem.notRun(HttpStatus.BAD_REQUEST, it) }
                ?: request.withBody { body -> run(request, service, headers, asked(request, path, body)) }
        }
    }

    private fun isPlain(path: String): Boolean {
        val segments = path.removePrefix("/").split('/')
        return segments.dropLast(1).none { it.isEmpty() } &&
            segments.none { URLDecoder.decode(it, Charsets.UTF_8) in DOTS }
    }

    /** What a call that may not be repeated lacks, or null when it is complete or may be repeated. */
    private fun missing(
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

    private fun asked(
        request: CallerRequest,
        path: String,
        body: ByteArray,
    ): Asked {
        val query = request.http.uri.query
        val target = if (query.isEmpty()) path else "$path?$query"
        return Asked(request.http.method.name, target, request.http.header("content-type") ?: BINARY, body)
    }

    private fun run(
        request: CallerRequest,
        service: Service,
        headers: CallHeaders,
        asked: Asked,
    ): Response =
        calls.run(request, service, headers, asked) { _, replies, begun ->
            val head = Response(Status(begun.status, null)).header("content-type", begun.contentType)
            ReplyStream.respond(head, replies, PlainAnswer)
        }

    private fun unknownService(
        name: String,
        request: CallerRequest,
    ): String {
        val known = request.configuration.services.filter { it.kind == ServiceKind.SERVICE }
        return "found service '$name', expected one of ${known.joinToString { "'${it.name}'" }}"
    }

    companion object {
        /** Before the name of the service in a path. */
        const val PREFIX = "/services"

        private const val BINARY = "application/octet-stream"
        private val DOTS = setOf(".", "..")
    }
}

/** The body of a plain call's answer, as it comes. */
private object PlainAnswer : Rendering {
    override fun part(part: Part): ByteArray = part.bytes
}
