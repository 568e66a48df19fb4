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

class StreamedAnswerTest {
    private val content = "data: {\"choices\":[{\"delta\":{\"content\":\"word1 \"}}]}\n\n"
    private val last = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"

    @Test
    fun `a whole answer has no failure`() {
        val result = take(content, last).end(Result(request, response(200)))
        assertNull(result.failure)
        assertNotNull(result.firstToken)
        assertEquals("svea-a.m0.abc.1", result.program)
        assertEquals("word1 ", result.text)
    }

    @Test
    fun `an answer without its end is cut short`() {
        assertEquals("answer cut short", take(content).end(Result(request, response(200))).failure)
    }

    @Test
    fun `a refusal is counted under its status and outcome`() {
        assertEquals("status 503 (not-run)", take("{}").end(Result(request, response(503))).failure)
    }

    @Test
    fun `a broken connection is counted under its cause`() {
        assertEquals("IOException", take(content).end(Result(request, response(200), IOException("reset"))).failure)
    }

    private fun take(vararg parts: String): StreamedAnswer {
        val answer = StreamedAnswer()
        parts.forEach { answer.take(ByteBuffer.wrap(it.encodeToByteArray())) }
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
