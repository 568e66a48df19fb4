package sycamore.entry

import org.http4k.core.Request
import sycamore.model.ProgramId

/**
 * The headers of a call that name its program, its position within the program and the call itself.
 *
 * @property program the program that the call belongs to, or null to start a new one.
 * @property parent the program that starts the new program as its sub-agent, or null.
 * @property turn the position of the call within its program, from 1, or null for the next position.
 * @property key the idempotency key: a repeat of the call under the same key gets the same answer.
 * @property append whether the body of a chat completion holds only the new messages.
 */
internal data class CallHeaders(
    val program: ProgramId? = null,
    val parent: ProgramId? = null,
    val turn: Int? = null,
    val key: String? = null,
    val append: Boolean = false,
) {
    companion object {
        /** The header with the id of the call's program. */
        const val PROGRAM = "sycamore-program"

        /** The header with the id of the program that starts a sub-agent. */
        const val PARENT = "sycamore-parent"

        /** The header with the position of a call within its program. */
        const val TURN = "sycamore-turn"

        /** The header that tells whether a chat body holds only the new messages. */
        const val APPEND = "sycamore-append"

        /** The header with the idempotency key of a call. */
        const val KEY = "idempotency-key"

        /** The `Sycamore-` headers that a chat completion may have. */
        val allowedOnChat = setOf(PROGRAM, PARENT, TURN, APPEND)

        /** The `Sycamore-` headers that a call of a plain service may have. */
        val allowedOnPlainCall = setOf(PROGRAM, PARENT, TURN)
    }
}

/** The result of reading a request's headers. */
internal sealed interface HeadersResult {
    /** All headers are valid. */
    data class Valid(
        val headers: CallHeaders,
    ) : HeadersResult

    /** Each of [findings] is a header, or a combination of headers, that is not valid. */
    data class Invalid(
        val findings: List<String>,
    ) : HeadersResult
}

/** Reads the headers of [request]. Of the names that begin with `Sycamore-`, only those in [allowed] are accepted. */
internal class HeaderReader private constructor(
    private val request: Request,
    private val allowed: Set<String>,
) {
    private val findings = ArrayList<String>()

    private fun read(): HeadersResult {
        val headers =
            CallHeaders(
                program = program(CallHeaders.PROGRAM),
                parent = program(CallHeaders.PARENT),
                turn = value(CallHeaders.TURN, "a whole number from 1") { it.toIntOrNull()?.takeIf { n -> n >= 1 } },
                key = value(CallHeaders.KEY, "1 to $MAX_KEY_CHARS visible ASCII characters") { it.takeIf(::isKey) },
                append = value(CallHeaders.APPEND, "true or false") { it.toBooleanStrictOrNull() } ?: false,
            )
        checkNames()
        checkCombinations(headers)
        return if (findings.isEmpty()) HeadersResult.Valid(headers) else HeadersResult.Invalid(findings)
    }

    private fun program(name: String): ProgramId? =
        value(name, "a program id such as place.host.incarnation.7", ProgramId::parse)

    private fun isKey(text: String) = text.length in 1..MAX_KEY_CHARS && text.all { it in visibleAscii }

    private fun <T : Any> value(
        name: String,
        expected: String,
        parse: (String) -> T?,
    ): T? {
        val values = request.headerValues(name).filterNotNull()
        if (values.isEmpty()) return null
        val parsed = values.singleOrNull()?.let(parse)
        if (parsed == null) findings += "${displayName(name)}: found '${values.joinToString(", ")}', expected $expected"
        return parsed
    }

    private fun checkNames() {
        val names = request.headers.map { it.first.lowercase() }.toSortedSet()
        names.filter { it.startsWith(PREFIX) && it !in allowed }.forEach { name ->
            val expected =
                if (allowed.isEmpty()) {
                    "no Sycamore headers here"
                } else {
                    allowed.joinToString(
                        " or ",
                        transform = ::displayName,
                    )
                }
            findings += "found header ${displayName(name)}, expected $expected"
        }
    }

    private fun checkCombinations(headers: CallHeaders) {
        if (headers.program != null && headers.parent != null) {
            findings +=
                "found Sycamore-Parent beside Sycamore-Program, expected it on the call that starts a program only"
        }
        if (headers.program == null && headers.turn != null && headers.turn > 1) {
            findings += "found Sycamore-Turn ${headers.turn} without Sycamore-Program, expected turn 1 or a program"
        }
    }

    private fun displayName(name: String): String =
        name.split('-').joinToString("-") { part -> part.replaceFirstChar(Char::uppercase) }

    companion object {
        private const val PREFIX = "sycamore-"
        private const val MAX_KEY_CHARS = 255
        private val visibleAscii = '!'..'~'

        /** Reads the headers of [request]; `Sycamore-` headers that are not in [allowed] are findings. */
        fun read(
            request: Request,
            allowed: Set<String>,
        ): HeadersResult = HeaderReader(request, allowed).read()
    }
}
