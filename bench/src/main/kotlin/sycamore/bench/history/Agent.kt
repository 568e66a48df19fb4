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

/** A caller that runs one program: turns with pauses, sub-agents and calls that may not be repeated. */
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

    /** How an attempt ended. */
    private sealed interface Result {
        class Whole(
            val text: String,
        ) : Result

        class NotRun(
            val wait: Duration,
        ) : Result

        data object Broke : Result

        data object GivenUp : Result
    }

    /** Runs the program to its end. */
    suspend fun run(scope: CoroutineScope) {
        recorder.record { ProgramBegan(it, tag, root, Fleet.BUDGET.tokens) }
        val turns = random.nextInt(MIN_TURNS, MAX_TURNS)
        for (i in 1..turns) {
            val isFine = if (id != null && random.nextInt(ORDER_IN) == 0) order() else chat()
            if (!isFine) break
            if (random.nextInt(SUB_AGENT_IN) == 0 && parent == null && id != null) subAgent(scope, i)
            delay(random.nextInt(PAUSE_MILLIS).milliseconds)
        }
        end()
        recorder.record { ProgramOver(it, tag) }
    }

    private suspend fun subAgent(
        scope: CoroutineScope,
        number: Int,
    ) {
        val child = Agent(fleet, recorder, random, Tag("$tag/$number"), root, id)
        if (random.nextBoolean()) child.run(scope) else scope.launch { child.run(scope) }
    }

    private suspend fun chat(): Boolean {
        val text = "$tag turn ${turn + 1} ${"x".repeat(random.nextInt(MAX_TEXT))}"
        return call(fleet.assistant, chatRequest(text), text, isChat = true)
    }

    private suspend fun order(): Boolean {
        val body = "$tag deposit ${turn + 1}"
        val request = Request("POST", "/deposits", "text/plain", body.encodeToByteArray())
        return call(fleet.shop, request, body, isChat = false)
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

    /** Sends a call until it is answered or given up. Returns whether the program can go on. */
    private suspend fun call(
        service: ServiceName,
        request: Request,
        text: String,
        isChat: Boolean,
    ): Boolean {
        turn++
        val call = CallId.fromKey(Fleet.caller, id, "$tag-$turn")
        for (attempt in 1..MAX_ATTEMPTS) {
            val entry = entry()
            if (entry == null) {
                delay(NO_ENTRY_PAUSE)
                continue
            }
            recorder.record { CallSent(it, tag, turn, call, attempt, entry, text, isChat) }
            when (val result = attempt(entry, call, attempt, service, request)) {
                is Result.Whole -> return true
                is Result.NotRun -> delay(result.wait)
                Result.Broke -> delay(random.nextInt(RETRY_MILLIS).milliseconds)
                Result.GivenUp -> return false
            }
        }
        return false
    }

    private fun entry(): HostName? = fleet.entries.filter { fleet.isUp(it) }.randomOrNull(random)

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
            val next = withTimeoutOrNull(PATIENCE) { replies.receiveCatching() }
            val reply = next?.getOrNull()
            when (reply) {
                is Begun -> id = reply.program
                is Part -> text.write(reply.bytes)
                is Whole -> return whole(call, attempt, text.toByteArray().decodeToString())
                is Refused -> return refused(call, attempt, reply.refusal)
                else -> return broke(call, attempt, "$reply ${next?.exceptionOrNull()?.message}")
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
            timeLeft = DEADLINE,
            generation = fleet.process(fleet.entries.first { fleet.isUp(it) }).inForce.generation,
        )

    /** Runs the call in the entry's process, so that it dies with it. */
    private fun send(
        entry: HostName,
        call: Call,
    ): Channel<Message> {
        val daemon = fleet.process(entry)
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

    private fun whole(
        call: CallId,
        attempt: Int,
        text: String,
    ): Result {
        recorder.record { CallAnswered(it, tag, turn, call, attempt, text) }
        return Result.Whole(text)
    }

    private fun refused(
        call: CallId,
        attempt: Int,
        refusal: Refusal,
    ): Result {
        recorder.record { CallRefused(it, tag, turn, call, attempt, refusal.outcome, refusal.detail) }
        val wait = refusal.retryAfter
        val isRetried = refusal.outcome == Outcome.NOT_RUN && wait != null
        return if (isRetried) Result.NotRun(wait) else Result.GivenUp
    }

    private fun broke(
        call: CallId,
        attempt: Int,
        detail: String,
    ): Result {
        recorder.record { CallBroke(it, tag, turn, call, attempt, detail) }
        return Result.Broke
    }

    /** Ends the program, by another entry if need be; the idle limit ends it if none can. */
    private suspend fun end() {
        val program = id ?: return
        for (attempt in 1..MAX_ATTEMPTS) {
            val entry = entry()
            if (entry != null && endBy(entry, program)) return
            delay(NO_ENTRY_PAUSE)
        }
    }

    private suspend fun endBy(
        entry: HostName,
        program: ProgramId,
    ): Boolean {
        val daemon = fleet.process(entry)
        val replies = collect(daemon) { daemon.entry!!.ask(program, EndProgram(program, Fleet.caller)) }
        return when (withTimeoutOrNull(PATIENCE) { replies.receiveCatching() }?.getOrNull()) {
            is Done, is ProgramView -> true
            else -> false
        }
    }

    private companion object {
        const val MIN_TURNS = 2
        const val MAX_TURNS = 9
        const val ORDER_IN = 3
        const val SUB_AGENT_IN = 5
        const val PAUSE_MILLIS = 1_500
        const val MAX_TEXT = 40
        const val MAX_TOKENS = 40
        const val MAX_ATTEMPTS = 12
        const val RETRY_MILLIS = 500
        val PATIENCE = 30.seconds
        val DEADLINE = 20.seconds
        val NO_ENTRY_PAUSE = 500.milliseconds
    }
}
