package sycamore.entry

import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import org.http4k.core.Method
import org.http4k.core.Response
import sycamore.entry.EntryFixture.Companion.begun
import sycamore.entry.EntryFixture.Companion.chat
import sycamore.entry.EntryFixture.Companion.part
import sycamore.entry.EntryFixture.Companion.program
import sycamore.entry.EntryFixture.Companion.request
import sycamore.entry.EntryFixture.Companion.whole
import sycamore.links.Call
import sycamore.links.Done
import sycamore.links.EndProgram
import sycamore.links.GetProgram
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.links.ProgramView
import sycamore.links.Refused
import sycamore.links.StartProgram
import sycamore.links.Unsupported
import sycamore.model.CallerName
import sycamore.model.ServiceName
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards the callers' HTTP interface against responses that clients of the chat API cannot read, and against refusals
 * with a wrong outcome: a caller that reads `not-run` repeats the call, which would run twice if it had been sent.
 */
class EntryHttpTest {
    private val answering =
        EntryFixture { message ->
            when (message) {
                is Call -> flowOf(begun(message), part(message, 0, "Go"), part(message, 2, "od"), whole(message, 4))
                is StartProgram -> flowOf(ProgramView(program, message.service, program))
                is GetProgram -> flowOf(ProgramView(program, ServiceName("order-app"), program, turns = 2))
                else -> flowOf(Done)
            }
        }

    private fun replying(replies: suspend FlowCollector<Message>.(Call) -> Unit) =
        EntryFixture { message -> if (message is Call) flow { replies(message) } else flowOf(Unsupported) }

    private fun assertRefused(
        response: Response,
        status: Int,
        outcome: String,
        detail: String,
    ) {
        assertEquals(status, response.status.code)
        assertEquals("application/problem+json", response.header("content-type"))
        assertEquals(outcome, response.header("sycamore-outcome"))
        val body = response.bodyString()
        assertTrue("\"detail\":\"$detail\"" in body, body)
    }

    @Test
    fun `a complete answer has text, usage and the program's headers`() {
        val response = answering.http(chat())
        assertEquals(200, response.status.code)
        assertEquals(program.toString(), response.header("sycamore-program"))
        assertEquals("1", response.header("sycamore-turn"))
        val id = (answering.sent.single() as Call).id
        assertEquals(
            """{"id":"chatcmpl-$id","object":"chat.completion","created":1700000000,"model":"wheel-7b",""" +
                """"choices":[{"index":0,"message":{"role":"assistant","content":"Good"},"finish_reason":"stop"}],""" +
                """"usage":{"prompt_tokens":10,"completion_tokens":2,"total_tokens":12,""" +
                """"prompt_tokens_details":{"cached_tokens":4}}}""",
            response.bodyString(),
        )
    }

    private fun deltas(response: Response): List<String> =
        response.bodyString().split("\n\n").dropLast(1).map {
            it.removePrefix("data: ").substringAfter("\"wheel-7b\",").removeSuffix("}")
        }

    @Test
    fun `a streamed answer begins with the role and ends with the finish reason`() {
        val response = answering.http(chat(""","stream":true"""))
        assertEquals("text/event-stream", response.header("content-type"))
        assertEquals(
            listOf(
                """"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]""",
                """"choices":[{"index":0,"delta":{"content":"Go"},"finish_reason":null}]""",
                """"choices":[{"index":0,"delta":{"content":"od"},"finish_reason":null}]""",
                """"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]""",
                "[DONE]",
            ),
            deltas(response),
        )
    }

    @Test
    fun `usage is sent as an event of its own when the caller requests it`() {
        val response = answering.http(chat(""","stream":true,"stream_options":{"include_usage":true}"""))
        assertEquals(
            """"choices":[],"usage":{"prompt_tokens":10,"completion_tokens":2,"total_tokens":12,""" +
                """"prompt_tokens_details":{"cached_tokens":4}}""",
            deltas(response).dropLast(1).last(),
        )
    }

    @Test
    fun `streamed tool calls have an index`() {
        val calls = """[{"id":"a","type":"function"},{"id":"b","type":"function"}]"""
        val fixture =
            replying { call ->
                emit(begun(call))
                emit(whole(call, 0, calls))
            }
        assertEquals(
            """"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"a","type":"function"},""" +
                """{"index":1,"id":"b","type":"function"}]},"finish_reason":null}]""",
            deltas(fixture.http(chat(""","stream":true""")))[1],
        )
    }

    @Test
    fun `all invalid headers are named in one refusal`() {
        val request = chat().header("Sycamore-Turn", "0").header("Sycamore-Program", "x")
        assertRefused(
            answering.http(request),
            400,
            "not-run",
            "Sycamore-Program: found 'x', expected a program id such as place.host.incarnation.7; " +
                "Sycamore-Turn: found '0', expected a whole number from 1",
        )
        assertEquals(emptyList(), answering.sent)
    }

    @Test
    fun `the error status of an engine is the status of the refusal`() {
        val fixture =
            replying { call ->
                emit(begun(call, status = 400))
                emit(part(call, 0, "too long"))
                emit(whole(call, 8, status = 400))
            }
        val detail = "the engine answered with status 400: too long"
        assertRefused(fixture.http(chat()), 400, "failed", detail)
        assertRefused(fixture.http(chat(""","stream":true""")), 400, "failed", detail)
    }

    @Test
    fun `a refusal says when to retry`() {
        val refusal = Refusal(Outcome.NOT_RUN, 429, "the queue is full", retryAfter = 3.seconds)
        val response = replying { call -> emit(Refused(call.id, refusal)) }.http(chat())
        assertRefused(response, 429, "not-run", "the queue is full")
        assertEquals("3", response.header("retry-after"))
        val error =
            """"error":{"message":"the queue is full","type":"rate_limit_error",""" +
                """"code":"not-run","param":null}"""
        assertTrue(error in response.bodyString())
    }

    @Test
    fun `an unstreamed answer whose end is missing is refused`() {
        val ended =
            replying { call ->
                emit(begun(call))
                emit(part(call, 0, "Go"))
            }
        assertRefused(ended.http(chat()), 503, "unknown", "host h1 cannot be reached; the answer of h1 broke off")
        val lost = replying { throw LinkException("the link was lost", sent = true) }
        assertRefused(lost.http(chat()), 503, "unknown", "host h1 cannot be reached; the link was lost")
    }

    @Test
    fun `only a call without a key is reported as not run when its host cannot be reached`() {
        val unreachable = replying { throw LinkException("no route", sent = false) }
        val detail = "host h1 cannot be reached; no route"
        assertRefused(unreachable.http(chat()), 503, "not-run", detail)
        assertRefused(unreachable.http(chat().header("Idempotency-Key", "k")), 503, "unknown", detail)
    }

    @Test
    fun `a plain call that is not idempotent needs a program and a key`() {
        val request = request(Method.POST, "/services/order-app/deposits", "{}")
        val call = "POST /deposits of service order-app is not idempotent"
        assertRefused(
            answering.http(request),
            400,
            "not-run",
            "$call: found no Sycamore-Program, expected one; POST /v1/programs with " +
                """{\"service\":\"order-app\"} starts a program, and every answer names its own""",
        )
        val named = request.header("Sycamore-Program", program.toString())
        val detail = "$call: found no Idempotency-Key, expected one that no other call of the program has"
        assertRefused(answering.http(named), 400, "not-run", detail)
        assertEquals(200, answering.http(named.header("Idempotency-Key", "k1")).status.code)
        assertEquals(program, (answering.sent.single() as Call).program)
    }

    @Test
    fun `a plain call keeps its query`() {
        val response = answering.http(request(Method.GET, "/services/order-app/slots?day=2"))
        assertEquals("Good", response.bodyString())
        assertEquals("/slots?day=2", (answering.sent.single() as Call).request.path)
    }

    @Test
    fun `paths that an upstream may interpret differently are refused`() {
        listOf("/a/../slots", "/%2e%2e/slots", "//slots").forEach { path ->
            val response = answering.http(request(Method.GET, "/services/order-app$path"))
            val detail = "found path '$path', expected one without empty, '.' and '..' segments"
            assertRefused(response, 400, "not-run", detail)
        }
    }

    @Test
    fun `programs are started, shown and ended on behalf of their account`() {
        val caller = CallerName("workshop")
        val started = answering.http(request(Method.POST, "/v1/programs", """{"service":"order-app"}"""))
        assertEquals(201, started.status.code)
        assertEquals("/v1/programs/$program", started.header("location"))
        val shown = answering.http(request(Method.GET, "/v1/programs/$program"))
        assertTrue("\"turns\":2" in shown.bodyString(), shown.bodyString())
        assertEquals(204, answering.http(request(Method.DELETE, "/v1/programs/$program")).status.code)
        assertEquals(listOf(GetProgram(program, caller), EndProgram(program, caller)), answering.sent.drop(1))
    }

    @Test
    fun `a request without a valid key is refused`() {
        val detail = "expected the header 'Authorization: Bearer KEY' with an account's API key"
        assertRefused(answering.http(chat().removeHeader("Authorization")), 401, "not-run", detail)
        assertRefused(answering.http(chat().replaceHeader("Authorization", "Bearer k")), 401, "not-run", detail)
    }

    @Test
    fun `the refusal of an unknown path or method names those that are known`() {
        assertRefused(
            answering.http(request(Method.GET, "/v2")),
            404,
            "not-run",
            "found path '/v2', expected /v1/chat/completions, /v1/models, /v1/programs or /services/NAME/...",
        )
        assertRefused(
            answering.http(request(Method.PUT, "/v1/models")),
            405,
            "not-run",
            "found method PUT, expected GET",
        )
    }

    @Test
    fun `requests are timed and refusals are counted by outcome`() {
        answering.http(chat()).bodyString()
        answering.http(chat().header("Sycamore-Turn", "x")).bodyString()
        val cut =
            replying { call ->
                emit(begun(call))
                emit(part(call, 0, "Go"))
            }
        assertFailsWith<IOException> { cut.http(chat(""","stream":true""")).bodyString() }

        fun EntryFixture.count(
            service: String,
            outcome: String,
        ) = meters
            .get("sycamore.requests")
            .tags("service", service, "outcome", outcome)
            .timer()
            .count()
        assertEquals(1, answering.count("assist-llm", "answered"))
        assertEquals(1, answering.count("none", "not-run"))
        assertEquals(1, cut.count("assist-llm", "cut-off"))
        assertEquals(
            1.0,
            cut.meters
                .get("sycamore.refusals")
                .tag("outcome", "cut-off")
                .counter()
                .count(),
        )
        assertEquals(
            0.0,
            answering.meters
                .get("sycamore.requests.in.progress")
                .gauge()
                .value(),
        )
    }

    @Test
    fun `a body beyond the limit is refused`() {
        val detail = "found a body of more than 1000 bytes, expected at most that"
        val request = request(Method.POST, "/v1/programs", "x".repeat(1001))
        assertRefused(answering.http(request), 413, "not-run", detail)
    }

    @Test
    fun `a request of an account is in progress until its answer is written`() {
        val responses = List(2) { answering.http(chat()) }
        val detail = "found 2 requests of account workshop in progress"
        val refused = answering.http(chat())
        assertRefused(refused, 429, "not-run", detail)
        assertEquals("1", refused.header("retry-after"))
        responses.first().bodyString()
        assertEquals(200, answering.http(chat()).status.code)
    }
}
