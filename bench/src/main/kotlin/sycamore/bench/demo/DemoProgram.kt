package sycamore.bench.demo

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.http4k.core.Method
import org.http4k.core.Response
import sycamore.model.ProgramId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Called between two turns of a program, with its id; the demo uses it to kill the home of one program. */
internal typealias BetweenTurns = suspend (home: ProgramId) -> Unit

/**
 * One agent program from its caller's side: chat turns, a tool call with its pause, a sub-agent, two turns sent out of
 * order, a non-idempotent call that is sent twice, and the end of the program. Every answer is checked.
 */
internal class DemoProgram(
    private val deployment: Deployment,
    private val client: DemoClient,
    private val request: String,
    private val number: Int,
    private val progress: (String) -> Unit,
    private val betweenTurns: BetweenTurns,
) {
    private val transcript = Transcript()
    private var id: ProgramId? = null
    private var turn = 0
    private var pauses = Duration.ZERO
    private var tokens = TokenCount()

    /** The name of the program in the report. */
    val name = "${deployment.name}/$number"

    /** The body of the non-idempotent call, unique to this program, by which the plain service counts its runs. */
    val saleBody = """{"deployment":"${deployment.name}","program":$number,"amount":250}"""

    /**
     * Runs the program and returns its report.
     *
     * Fails with [RequestException] for a failed request, and with [IllegalStateException] for a wrong answer.
     */
    suspend fun run(): ProgramReport {
        val start = TimeSource.Monotonic.markNow()
        sendTurn(listOf(DemoMessage("system", deployment.greeting), DemoMessage("user", request)), isStream = true)
        val call = requestToolCall("find_slots")
        pause()
        queryService()
        betweenTurns(checkNotNull(id))
        sendTurn(listOf(DemoMessage("tool", "Monday 08:00, Tuesday 13:30", toolCallId = call)), isStream = false)
        subAgent()
        sendTurnsOutOfOrder()
        sendSaleTwice()
        sendTurn(listOf(DemoMessage("user", "Thank you. Please sum up what we agreed.")), isStream = true)
        val report = report(start.elapsedNow())
        end()
        progress("$name: done after $turn turns")
        return report
    }

    private suspend fun pause() {
        delay(TOOL_PAUSE)
        pauses += TOOL_PAUSE
    }

    private suspend fun sendTurn(
        messages: List<DemoMessage>,
        isStream: Boolean,
        tool: String? = null,
    ): ChatReply {
        val reply = chat(messages, ++turn, isStream, tool)
        checkReply(messages, reply)
        return reply
    }

    private suspend fun requestToolCall(tool: String): String {
        val reply = sendTurn(listOf(DemoMessage("user", "Please look for a free slot.")), isStream = true, tool = tool)
        val call = reply.toolCalls?.singleOrNull()?.jsonObject
        return checkNotNull(
            call?.get("id")?.jsonPrimitive?.content,
        ) { "expected one call of $tool, found ${reply.toolCalls}" }
    }

    /** Checks that [reply] was computed from all earlier messages and [messages], and adds both to the transcript. */
    private fun checkReply(
        messages: List<DemoMessage>,
        reply: ChatReply,
    ) {
        messages.forEach(transcript::add)
        val expected = transcript.expectedAnswer()
        check(reply.text.startsWith(expected)) { "expected an answer that begins '$expected', found '${reply.text}'" }
        transcript.add(DemoMessage("assistant", reply.text, reply.toolCalls?.toString()))
        tokens += TokenCount(reply.promptTokens, reply.cachedTokens, reply.completionTokens)
        progress("$name: turn $turn answered after ${transcript.size} messages at ${id?.origin?.host}")
    }

    private suspend fun chat(
        messages: List<DemoMessage>,
        atTurn: Int,
        isStream: Boolean,
        tool: String? = null,
    ): ChatReply {
        val extraFields = if (isStream) STREAMING_FIELDS else emptyMap()
        val response =
            send(
                Method.POST,
                CHAT,
                atTurn,
                "turn-$atTurn",
                Transcript.body(deployment.model, messages, extraFields, tool),
            )
        val text = response.bodyString()
        return if (isStream) ChatReply.fromEventStream(text) else ChatReply.fromJson(text)
    }

    private suspend fun send(
        method: Method,
        path: String,
        atTurn: Int,
        key: String,
        body: String = "",
    ): Response {
        val program = id
        val named = program?.let { mapOf("sycamore-program" to "$it") }.orEmpty()
        val append = if (path == CHAT) mapOf("sycamore-append" to "true") else emptyMap()
        val headers = named + append + mapOf("sycamore-turn" to "$atTurn", DemoClient.IDEMPOTENCY_KEY to keyOf(key))
        val response = client.send(method, path, headers, body)
        val answered =
            checkNotNull(response.header("sycamore-program")?.let(ProgramId::parse)) {
                "expected a sycamore-program header in the response, found none"
            }
        check(program == null || answered == program) {
            "expected an answer for program $program, found one for $answered"
        }
        check(response.header("sycamore-turn") == "$atTurn") {
            "expected turn $atTurn, found ${response.header("sycamore-turn")}"
        }
        id = answered
        return response
    }

    private fun keyOf(key: String) = "${deployment.name}-$number-$key"

    /** Sends an idempotent call to the plain service, as a turn of the program. */
    private suspend fun queryService() {
        send(Method.GET, "/services/${deployment.service}/slots", ++turn, "slots")
    }

    /** Runs a sub-agent, which has a history of its own and is charged to this program. */
    private suspend fun subAgent() {
        val question = DemoMessage("user", "Describe the work for: $request")
        val body = Transcript.body(deployment.model, listOf(question))
        val headers = mapOf("sycamore-parent" to "$id", DemoClient.IDEMPOTENCY_KEY to keyOf("sub"))
        val response = client.send(Method.POST, CHAT, headers, body)
        val child =
            checkNotNull(response.header("sycamore-program")) {
                "expected a sycamore-program header for the sub-agent, found none"
            }
        val reply = ChatReply.fromJson(response.bodyString())
        val expected = Transcript().apply { add(question) }.expectedAnswer()
        check(reply.text.startsWith(expected)) {
            "expected an answer to the sub-agent that begins '$expected', found '${reply.text}'"
        }
        val root = view(child)["root"]?.jsonPrimitive?.content
        check(root == "$id") { "expected the sub-agent to be charged to $id, found $root" }
        tokens += TokenCount(reply.promptTokens, reply.cachedTokens, reply.completionTokens)
        client.send(Method.DELETE, "$PROGRAMS/$child")
        progress("$name: sub-agent $child answered")
    }

    /** Sends two turns in the wrong order; they have to be answered in the order of their numbers. */
    private suspend fun sendTurnsOutOfOrder() =
        coroutineScope {
            val first = listOf(DemoMessage("user", "Is Tuesday possible?"))
            val second = listOf(DemoMessage("user", "And does it include a pickup slip?"))
            val later = async { chat(second, turn + 2, isStream = true) }
            delay(OUT_OF_ORDER_DELAY)
            val earlier = chat(first, turn + 1, isStream = true)
            turn++
            checkReply(first, earlier)
            val reply = later.await()
            turn++
            checkReply(second, reply)
        }

    /** Sends a non-idempotent call twice under one idempotency key; the repeat has to get the first answer. */
    private suspend fun sendSaleTwice() {
        val path = "/services/${deployment.service}${deployment.sale}"
        val atTurn = ++turn
        val answer = send(Method.POST, path, atTurn, "sale", saleBody).bodyString()
        val again = send(Method.POST, path, atTurn, "sale", saleBody).bodyString()
        check(again == answer) { "expected the first answer '$answer' to the repeat, found '$again'" }
        progress("$name: ${deployment.sale} answered, and its repeat with the same answer")
    }

    private suspend fun view(program: String): JsonObject =
        Json
            .parseToJsonElement(client.send(Method.GET, "$PROGRAMS/$program").bodyString())
            .jsonObject

    private suspend fun report(elapsed: Duration): ProgramReport {
        val view = view("$id")
        val turns = view["turns"]?.jsonPrimitive?.content
        check(turns == "$turn") { "expected $turn turns, found $turns" }
        val spent =
            view["spent"]!!
                .jsonObject["tokens"]!!
                .jsonPrimitive.content
                .toLong()
        val budget =
            view["budget"]!!
                .jsonObject["tokens"]!!
                .jsonPrimitive.content
                .toLong()
        check(spent <= budget) { "expected at most $budget tokens spent, found $spent" }
        return ProgramReport(name, checkNotNull(id), turn, tokens, elapsed, pauses, spent, budget, saleBody)
    }

    private suspend fun end() {
        client.send(Method.DELETE, "$PROGRAMS/$id")
    }

    private companion object {
        const val CHAT = "/v1/chat/completions"
        const val PROGRAMS = "/v1/programs"
        val TOOL_PAUSE = 600.milliseconds
        val OUT_OF_ORDER_DELAY = 150.milliseconds
        val STREAMING_FIELDS: Map<String, JsonElement> =
            mapOf(
                "stream" to JsonPrimitive(true),
                "stream_options" to JsonObject(mapOf("include_usage" to JsonPrimitive(true))),
            )
    }
}
