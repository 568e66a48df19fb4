package sycamore.entry

import org.http4k.core.Method
import org.http4k.core.Request
import sycamore.model.ProgramId
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against headers that are ignored instead of refused: a misspelt, repeated or contradictory header would let a
 * call run in another program, or at another position in it, than its caller meant.
 */
class HeaderReaderTest {
    private val program = "svea-a.h1.ab12.7"

    private fun read(
        vararg headers: Pair<String, String>,
        allowed: Set<String> = CallHeaders.allowedOnChat,
    ): HeadersResult = HeaderReader.read(Request(Method.POST, "/").headers(headers.toList()), allowed)

    private fun assertInvalid(
        finding: String,
        read: HeadersResult,
    ) = assertEquals(HeadersResult.Invalid(listOf(finding)), read)

    @Test
    fun `all headers are read`() {
        val expected = CallHeaders(ProgramId.parse(program), turn = 3, key = "k", append = true)
        val read =
            read(
                "Sycamore-Program" to program,
                "Sycamore-Turn" to "3",
                "Idempotency-Key" to "k",
                "Sycamore-Append" to "true",
            )
        assertEquals(HeadersResult.Valid(expected), read)
    }

    @Test
    fun `the finding for an unknown header names those that are known`() {
        assertInvalid(
            "found header Sycamore-Trun, expected Sycamore-Program or Sycamore-Parent or Sycamore-Turn",
            read("Sycamore-Trun" to "3", allowed = CallHeaders.allowedOnPlainCall),
        )
    }

    @Test
    fun `a header with two values is invalid`() {
        assertInvalid(
            "Sycamore-Append: found 'true, false', expected true or false",
            read("Sycamore-Append" to "true", "Sycamore-Append" to "false"),
        )
    }

    @Test
    fun `a key may have visible characters only`() {
        assertInvalid(
            "Idempotency-Key: found 'a b', expected 1 to 255 visible ASCII characters",
            read("Idempotency-Key" to "a b"),
        )
    }

    @Test
    fun `headers that contradict each other are invalid`() {
        assertInvalid(
            "found Sycamore-Parent beside Sycamore-Program, expected it on the call that starts a program only",
            read("Sycamore-Program" to program, "Sycamore-Parent" to program),
        )
        assertInvalid(
            "found Sycamore-Turn 2 without Sycamore-Program, expected turn 1 or a program",
            read("Sycamore-Turn" to "2"),
        )
    }
}
