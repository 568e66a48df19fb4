package sycamore.entry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/**
 * Guards against engines that receive an invalid body, and against refusals that name only the first invalid field, so
 * that a caller has to correct the fields one request at a time.
 */
class ChatCheckTest {
    private fun findings(body: String): List<String> =
        assertIs<ChatBodyResult.Invalid>(ChatCheck.read(body.encodeToByteArray())).findings

    @Test
    fun `a valid body has no findings`() {
        val body = """{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true,"n":null}"""
        assertEquals("m", assertIs<ChatBodyResult.Valid>(ChatCheck.read(body.encodeToByteArray())).body.model)
    }

    @Test
    fun `all findings are reported together with their paths`() {
        assertEquals(
            listOf(
                "model: found {}, expected a model's name",
                "messages[1].role: found \"robot\", expected one of " +
                    "'system', 'developer', 'user', 'assistant', 'tool'",
                "stream: found 1, expected true or false",
                "max_tokens: found 0, expected a whole number from 1",
                "n: found 2, expected 1, since each call is answered with one choice",
            ),
            findings(
                """{"model":{},"messages":[{"role":"user"},{"role":"robot"}],"stream":1,"max_tokens":0,"n":2}""",
            ),
        )
    }

    @Test
    fun `a text that is no JSON object is refused`() {
        listOf("", "[]", "{", "\u0000").forEach { text ->
            assertEquals(listOf("body: expected a JSON object"), findings(text))
        }
    }
}
