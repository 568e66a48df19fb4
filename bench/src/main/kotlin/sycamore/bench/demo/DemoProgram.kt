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

/** Called between two turns of a program whose home is to be lost then. */
internal typealias BetweenTurns = suspend (home: ProgramId) -> Unit

/**
 * One agent program, as its caller runs it: questions, a tool call with its pause, a sub-agent, two calls sent in the
 * wrong order, a sale that may not be repeated and is repeated all the same, and an end. Every answer is checked.
 */
internal class DemoProgram(
    private val deployment: Deployment,
    private val client: DemoClient,
    private val request: String,
    private val number: Int,
    private val progress: (String) -> Unit,
    private val betweenTurns: BetweenTurns,
) {
    private val talk = Talk()
    private var id: ProgramId? = null
    private var turn = 0
    private var pauses = Duration.ZERO
    private var tokens = TokenCount()

    /** Names the program in the report. */
    val name = "${deployment.name}/$number"

    /** The body that the plain service counts; no other program sends the same. */
    val saleBody = """{"deployment":"${deployment.name}","program":$number,"amount":250}"""

    /** Runs the program and reports it. Fails with [NotAnsweredException] or [IllegalStateException]. */
    suspend fun run(): ProgramReport {
        val start = TimeSource.Monotonic.markNow()
        ask(listOf(Said("system", deployment.greeting), Said("user", request)), isStream = true)
        val call = askTool("find_slots")
        pause()
        lookUp()
        betweenTurns(checkNotNull(id))
        ask(listOf(Said("tool", "Monday 08:00, Tuesday 13:30", toolCallId = call)), isStream = false)
        subAgent()
        crossed()
        sell()
        ask(listOf(Said("user", "Thank you. Please sum up what we agreed.")), isStream = true)
        val report = report(start.elapsedNow())
        end()
        progress("$name: done after $turn turns")
        return report
    }

    private suspend fun pause() {
        delay(TOOL_PAUSE)
        pauses += TOOL_PAUSE
    }

    private suspend fun ask(
        messages: List<Said>,
        isStream: Boolean,
        tool: String? = null,
    ): ChatReply {
        val reply = chat(messages, ++turn, isStream, tool)
        take(messages, reply)
        return reply
    }

    private suspend fun askTool(tool: String): String {
        val reply = ask(listOf(Said("user", "Please look for a free slot.")), isStream = true, tool = tool)
        val call = reply.toolCalls?.singleOrNull()?.jsonObject
        return checkNotNull(
            call?.get("id")?.jsonPrimitive?.content,
        ) { "expected one call of $tool, found ${reply.toolCalls}" }
    }

    /** Checks [reply], and that it saw all that was said before and [messages]. */
    private fun take(
        messages: List<Said>,
        reply: ChatReply,
    ) {
        messages.forEach(talk::add)
        val expected = talk.expectedAnswer()
        check(reply.text.startsWith(expected)) { "expected an answer that begins '$expected', found '${reply.text}'" }
        talk.add(Said("assistant", reply.text, reply.toolCalls?.toString()))
        tokens += TokenCount(reply.promptTokens, reply.cachedTokens, reply.completionTokens)
        progress("$name: turn $turn answered after ${talk.size} messages at ${id?.origin?.host}")
    }

    private suspend fun chat(
        messages: List<Said>,
        atTurn: Int,
        isStream: Boolean,
        tool: String? = null,
    ): ChatReply {
        val more = if (isStream) STREAMED else emptyMap()
        val response =
            send(Method.POST, CHAT, atTurn, "turn-$atTurn", Talk.body(deployment.model, messages, more, tool))
        val text = response.bodyString()
        return if (isStream) ChatReply.events(text) else ChatReply.whole(text)
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
            checkNotNull(response.header("sycamore-program")?.let(ProgramId::parse)) { "no program is named" }
        check(program == null || answered == program) { "expected an answer of $program, found one of $answered" }
        check(response.header("sycamore-turn") == "$atTurn") {
            "expected turn $atTurn, found ${response.header("sycamore-turn")}"
        }
        id = answered
        return response
    }

    private fun keyOf(key: String) = "${deployment.name}-$number-$key"

    /** A call that may be repeated, in the program's order. */
    private suspend fun lookUp() {
        send(Method.GET, "/services/${deployment.service}/slots", ++turn, "slots")
    }

    /** A sub-agent with a history of its own, charged to this program. */
    private suspend fun subAgent() {
        val question = Said("user", "Describe the work for: $request")
        val body = Talk.body(deployment.model, listOf(question))
        val headers = mapOf("sycamore-parent" to "$id", DemoClient.IDEMPOTENCY_KEY to keyOf("sub"))
        val response = client.send(Method.POST, CHAT, headers, body)
        val child = checkNotNull(response.header("sycamore-program")) { "no sub-agent is named" }
        val reply = ChatReply.whole(response.bodyString())
        val expected = Talk().apply { add(question) }.expectedAnswer()
        check(reply.text.startsWith(expected)) { "expected '$expected' of the sub-agent, found '${reply.text}'" }
        val root = view(child)["root"]?.jsonPrimitive?.content
        check(root == "$id") { "expected the sub-agent to be charged to $id, found $root" }
        tokens += TokenCount(reply.promptTokens, reply.cachedTokens, reply.completionTokens)
        client.send(Method.DELETE, "$PROGRAMS/$child")
        progress("$name: sub-agent $child answered")
    }

    /** Sends the later of two turns first. */
    private suspend fun crossed() =
        coroutineScope {
            val first = listOf(Said("user", "Is Tuesday possible?"))
            val second = listOf(Said("user", "And does it include a pickup slip?"))
            val later = async { chat(second, turn + 2, isStream = true) }
            delay(CROSSING)
            val earlier = chat(first, turn + 1, isStream = true)
            turn++
            take(first, earlier)
            val reply = later.await()
            turn++
            take(second, reply)
        }

    /** A call that may not be repeated, and its repeat. */
    private suspend fun sell() {
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
        val CROSSING = 150.milliseconds
        val STREAMED: Map<String, JsonElement> =
            mapOf(
                "stream" to JsonPrimitive(true),
                "stream_options" to JsonObject(mapOf("include_usage" to JsonPrimitive(true))),
            )
    }
}
