package sycamore.entry

import org.http4k.core.Request
import sycamore.model.ProgramId

/**
 * What the headers of a call say about its place among other calls.
 *
 * @property program the program that the call belongs to; null starts one.
 * @property parent the program that starts the new one as its sub-agent.
 * @property turn place within the program, from 1; null takes the next.
 * @property key names the call, so that a repeat gets the same answer.
 * @property append whether the body holds only the new messages.
 */
internal data class CallHeaders(
    val program: ProgramId? = null,
    val parent: ProgramId? = null,
    val turn: Int? = null,
    val key: String? = null,
    val append: Boolean = false,
) {
    companion object {
        /** Names the program of a call. */
        const val PROGRAM = "sycamore-program"

        /** Names the program that starts a sub-agent. */
        const val PARENT = "sycamore-parent"

        /** Tells the place of a call within its program. */
        const val TURN = "sycamore-turn"

        /** Tells whether a chat body holds only the new messages. */
        const val APPEND = "sycamore-append"

        /** Names a call. */
        const val KEY = "idempotency-key"

        /** Headers of a chat completion. */
        val chat = setOf(PROGRAM, PARENT, TURN, APPEND)

        /** Headers of a plain call. */
        val plain = setOf(PROGRAM, PARENT, TURN)
    }
}

/** What reading a request's headers gave. */
internal sealed interface ReadHeaders {
    /** They are right. */
    data class Valid(
        val headers: CallHeaders,
    ) : ReadHeaders

    /** They are wrong in each of [findings]. */
    data class Invalid(
        val findings: List<String>,
    ) : ReadHeaders
}

/** Reads the headers of one [request], of which those in [allowed] may begin with `Sycamore-`. */
internal class HeaderReader private constructor(
    private val request: Request,
    private val allowed: Set<String>,
) {
    private val findings = ArrayList<String>()

    private fun read(): ReadHeaders {
        val headers =
            CallHeaders(
                program = program(CallHeaders.PROGRAM),
                parent = program(CallHeaders.PARENT),
                turn = value(CallHeaders.TURN, "a whole number from 1") { it.toIntOrNull()?.takeIf { n -> n >= 1 } },
                key = value(CallHeaders.KEY, "1 to $MAX_KEY_CHARS visible ASCII characters") { it.takeIf(::isKey) },
                append = value(CallHeaders.APPEND, "true or false") { it.toBooleanStrictOrNull() } ?: false,
            )
        checkNames()
        checkTogether(headers)
        return if (findings.isEmpty()) ReadHeaders.Valid(headers) else ReadHeaders.Invalid(findings)
    }

    private fun program(name: String): ProgramId? =
        value(name, "a program id such as place.host.incarnation.7", ProgramId::parse)

    private fun isKey(text: String) = text.length in 1..MAX_KEY_CHARS && text.all { it in visible }

    private fun <T : Any> value(
        name: String,
        expected: String,
        parse: (String) -> T?,
    ): T? {
        val values = request.headerValues(name).filterNotNull()
        if (values.isEmpty()) return null
        val parsed = values.singleOrNull()?.let(parse)
        if (parsed == null) findings += "${display(name)}: found '${values.joinToString(", ")}', expected $expected"
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
                        transform = ::display,
                    )
                }
            findings += "found header ${display(name)}, expected $expected"
        }
    }

    private fun checkTogether(headers: CallHeaders) {
        if (headers.program != null && headers.parent != null) {
            findings +=
                "found Sycamore-Parent beside Sycamore-Program, expected it on the call that starts a program only"
        }
        if (headers.program == null && headers.turn != null && headers.turn > 1) {
            findings += "found Sycamore-Turn ${headers.turn} without Sycamore-Program, expected turn 1 or a program"
        }
    }

    private fun display(name: String): String =
        name.split('-').joinToString("-") { part -> part.replaceFirstChar(Char::uppercase) }

    companion object {
        private const val PREFIX = "sycamore-"
        private const val MAX_KEY_CHARS = 255
        private val visible = '!'..'~'

        /** Reads the headers of [request]; `Sycamore-` headers that are not in [allowed] are findings. */
        fun read(
            request: Request,
            allowed: Set<String>,
        ): ReadHeaders = HeaderReader(request, allowed).read()
    }
}
