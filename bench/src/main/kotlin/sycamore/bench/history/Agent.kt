package sycamore.bench.history

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import sycamore.links.Begun
import sycamore.links.Call
import sycamore.links.Done
import sycamore.links.EndProgram
import sycamore.links.Message
import sycamore.links.Part
import sycamore.links.ProgramView
import sycamore.links.Refused
import sycamore.links.Whole
import sycamore.model.CallId
import sycamore.model.HostName
import sycamore.model.ProgramId
import sycamore.model.ServiceName
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import sycamore.programs.Request
import java.io.ByteArrayOutputStream
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A simulated caller that runs one program: turns with pauses, sub-agents and non-idempotent calls.
 *
 * @property tag the name under which the recorded events refer to this program.
 * @property root the tag of the program whose budget this one shares; its own tag unless it is a sub-agent.
 * @property parent the id of the program that started this sub-agent, or null for a root program.
 */
internal class Agent(
    private val fleet: Fleet,
    private val recorder: Recorder,
    private val random: Random,
    private val tag: Tag,
    private val root: Tag = tag,
    private val parent: ProgramId? = null,
) {
    private var id: ProgramId? = null
    private var turn = 0

    /** The result of one attempt to send a call. */
    private sealed interface Result {
        class Complete(
            val text: String,
        ) : Result

        class NotRun(
            val wait: Duration,
        ) : Result

        data object Interrupted : Result

        data object Failed : Result
    }

    /** Runs the program until it is ended; sub-agents may go on in [scope]. */
    suspend fun run(scope: CoroutineScope) {
        recorder.record { ProgramBegan(it, tag, root, Fleet.BUDGET.tokens) }
        val turns = random.nextInt(MIN_TURNS, MAX_TURNS)
        for (i in 1..turns) {
            val canContinue = if (id != null && random.nextInt(TURNS_PER_ORDER) == 0) sendOrder() else sendChat()
            if (!canContinue) break
            if (random.nextInt(TURNS_PER_SUB_AGENT) == 0 && parent == null && id != null) runSubAgent(scope, i)
            delay(random.nextInt(MAX_PAUSE_MILLIS).milliseconds)
        }
        end()
        recorder.record { ProgramOver(it, tag) }
    }

    private suspend fun runSubAgent(
        scope: CoroutineScope,
        number: Int,
    ) {
        val child = Agent(fleet, recorder, random, Tag("$tag/$number"), root, id)
        if (random.nextBoolean()) child.run(scope) else scope.launch { child.run(scope) }
    }

    private suspend fun sendChat(): Boolean {
        val text = "$tag turn ${turn + 1} ${"x".repeat(random.nextInt(MAX_PADDING_CHARACTERS))}"
        return call(fleet.chatService, chatRequest(text), text, isChat = true)
    }

    private suspend fun sendOrder(): Boolean {
        val body = "$tag deposit ${turn + 1}"
        val request = Request("POST", "/deposits", "text/plain", body.encodeToByteArray())
        return call(fleet.orderService, request, body, isChat = false)
    }

    private fun chatRequest(text: String): Request {
        val message =
            buildJsonObject {
                put("role", JsonPrimitive("user"))
                put("content", JsonPrimitive(text))
            }
        val body =
            buildJsonObject {
                put("model", JsonPrimitive(Fleet.model.value))
                put("max_tokens", JsonPrimitive(MAX_TOKENS))
                put("messages", JsonArray(listOf(message)))
            }
        return Request("POST", "/v1/chat/completions", body = body.toString().encodeToByteArray())
    }

    /** Sends a call until it is answered or fails for good. Returns whether the program can continue. */
    private suspend fun call(
        service: ServiceName,
        request: Request,
        text: String,
        isChat: Boolean,
    ): Boolean {
        turn++
        val call = CallId.fromKey(Fleet.caller, id, "$tag-$turn")
        for (attempt in 1..MAX_ATTEMPTS) {
            val entry = chooseEntry()
            if (entry == null) {
                delay(NO_ENTRY_PAUSE)
                continue
            }
            recorder.record { CallSent(it, tag, turn, call, attempt, entry, text, isChat) }
            when (val result = attempt(entry, call, attempt, service, request)) {
                is Result.Complete -> return true
                is Result.NotRun -> delay(result.wait)
                Result.Interrupted -> delay(random.nextInt(MAX_RETRY_PAUSE_MILLIS).milliseconds)
                Result.Failed -> return false
            }
        }
        return false
    }

    private fun chooseEntry(): HostName? = fleet.entries.filter { fleet.isUp(it) }.randomOrNull(random)

    private suspend fun attempt(
        entry: HostName,
        call: CallId,
        attempt: Int,
        service: ServiceName,
        request: Request,
    ): Result {
        val replies = send(entry, message(call, service, request))
        val text = ByteArrayOutputStream()
        while (true) {
            val next = withTimeoutOrNull(REPLY_TIMEOUT) { replies.receiveCatching() }
            val reply = next?.getOrNull()
            when (reply) {
                is Begun -> id = reply.program
                is Part -> text.write(reply.bytes)
                is Whole -> return recordAnswer(call, attempt, text.toByteArray().decodeToString())
                is Refused -> return recordRefusal(call, attempt, reply.refusal)
                else -> return recordInterruption(call, attempt, "$reply ${next?.exceptionOrNull()?.message}")
            }
        }
    }

    private fun message(
        call: CallId,
        service: ServiceName,
        request: Request,
    ): Call =
        Call(
            id = call,
            caller = Fleet.caller,
            service = service,
            program = id,
            parent = parent,
            turn = turn,
            request = request,
            append = true,
            released = 0,
            releasedBody = ByteArray(0),
            timeLeft = CALL_DEADLINE,
            generation = fleet.daemonOn(fleet.entries.first { fleet.isUp(it) }).inForce.generation,
        )

    /** Runs the call in the simulated process of the entry, so that it ends when that process is killed. */
    private fun send(
        entry: HostName,
        call: Call,
    ): Channel<Message> {
        val daemon = fleet.daemonOn(entry)
        return collect(daemon) { daemon.entry!!.call(fleet.service(call.service), call) }
    }

    private fun collect(
        daemon: RunningDaemon,
        flow: () -> Flow<Message>,
    ): Channel<Message> {
        val replies = Channel<Message>(Channel.UNLIMITED)
        daemon.scope.launch {
            try {
                flow().collect { replies.send(it) }
                replies.close()
            } catch (e: Exception) {
                replies.close(e)
            }
        }
        return replies
    }

    private fun recordAnswer(
        call: CallId,
        attempt: Int,
        text: String,
    ): Result {
        recorder.record { CallAnswered(it, tag, turn, call, attempt, text) }
        return Result.Complete(text)
    }

    private fun recordRefusal(
        call: CallId,
        attempt: Int,
        refusal: Refusal,
    ): Result {
        recorder.record { CallRefused(it, tag, turn, call, attempt, refusal.outcome, refusal.detail) }
        val wait = refusal.retryAfter
        val isRetryable = refusal.outcome == Outcome.NOT_RUN && wait != null
        return if (isRetryable) Result.NotRun(wait) else Result.Failed
    }

    private fun recordInterruption(
        call: CallId,
        attempt: Int,
        detail: String,
    ): Result {
        recorder.record { CallBroke(it, tag, turn, call, attempt, detail) }
        return Result.Interrupted
    }

    /** Requests the end of the program, via other entries on failure. If all attempts fail, the idle limit ends it. */
    private suspend fun end() {
        val program = id ?: return
        for (attempt in 1..MAX_ATTEMPTS) {
            val entry = chooseEntry()
            if (entry != null && endVia(entry, program)) return
            delay(NO_ENTRY_PAUSE)
        }
    }

    private suspend fun endVia(
        entry: HostName,
        program: ProgramId,
    ): Boolean {
        val daemon = fleet.daemonOn(entry)
        val replies = collect(daemon) { daemon.entry!!.ask(program, EndProgram(program, Fleet.caller)) }
        return when (withTimeoutOrNull(REPLY_TIMEOUT) { replies.receiveCatching() }?.getOrNull()) {
            is Done, is ProgramView -> true
            else -> false
        }
    }

    private companion object {
        const val MIN_TURNS = 2
        const val MAX_TURNS = 9

        /** On average, one turn in this many is an order. */
        const val TURNS_PER_ORDER = 3

        /** On average, one turn in this many starts a sub-agent. */
        const val TURNS_PER_SUB_AGENT = 5
        const val MAX_PAUSE_MILLIS = 1_500
        const val MAX_PADDING_CHARACTERS = 40
        const val MAX_TOKENS = 40
        const val MAX_ATTEMPTS = 12
        const val MAX_RETRY_PAUSE_MILLIS = 500
        val REPLY_TIMEOUT = 30.seconds
        val CALL_DEADLINE = 20.seconds
        val NO_ENTRY_PAUSE = 500.milliseconds
    }
}
