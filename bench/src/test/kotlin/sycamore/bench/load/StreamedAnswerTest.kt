package sycamore.bench.load

import org.eclipse.jetty.client.Request
import org.eclipse.jetty.client.Response
import org.eclipse.jetty.client.Result
import org.eclipse.jetty.http.HttpFields
import java.io.IOException
import java.lang.reflect.Proxy
import java.nio.ByteBuffer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

/**
 * Guards against errors that a load run overlooks or counts under the wrong kind: answers that end early, refusals and
 * broken connections.
 */
class StreamedAnswerTest {
    private val content = "data: {\"choices\":[{\"delta\":{\"content\":\"word1 \"}}]}\n\n"
    private val last = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"

    @Test
    fun `a complete answer has no failure`() {
        val result = receive(content, last).toResult(Result(request, response(200)))
        assertNull(result.failure)
        assertNotNull(result.firstTokenAt)
        assertEquals("svea-a.m0.abc.1", result.program)
        assertEquals("word1 ", result.text)
    }

    @Test
    fun `an answer without its final event is reported as cut short`() {
        assertEquals("answer cut short", receive(content).toResult(Result(request, response(200))).failure)
    }

    @Test
    fun `a refusal is counted under its status and outcome`() {
        assertEquals("status 503 (not-run)", receive("{}").toResult(Result(request, response(503))).failure)
    }

    @Test
    fun `a broken connection is counted under its cause`() {
        assertEquals(
            "IOException",
            receive(content).toResult(Result(request, response(200), IOException("reset"))).failure,
        )
    }

    private fun receive(vararg parts: String): StreamedAnswer {
        val answer = StreamedAnswer()
        parts.forEach { answer.addBytes(ByteBuffer.wrap(it.encodeToByteArray())) }
        return answer
    }

    private val request = proxy<Request>()

    private fun response(status: Int): Response {
        val fields = HttpFields.build().add("sycamore-program", "svea-a.m0.abc.1").add("sycamore-outcome", "not-run")
        return proxy(mapOf("getStatus" to status, "getHeaders" to fields))
    }

    private inline fun <reified T : Any> proxy(answers: Map<String, Any> = emptyMap()): T =
        Proxy.newProxyInstance(T::class.java.classLoader, arrayOf(T::class.java)) { _, method, _ ->
            answers[method.name]
        } as T
}
