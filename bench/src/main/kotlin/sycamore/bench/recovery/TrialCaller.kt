package sycamore.bench.recovery

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.bench.history.CallAnswered
import sycamore.bench.history.CallBroke
import sycamore.bench.history.CallRefused
import sycamore.bench.history.CallSent
import sycamore.bench.history.Fleet
import sycamore.bench.history.ProgramBegan
import sycamore.bench.history.ProgramOver
import sycamore.bench.history.Recorder
import sycamore.bench.history.RunningDaemon
import sycamore.bench.history.Tag
import sycamore.entry.EntryDaemon
import sycamore.links.Begun
import sycamore.links.Call
import sycamore.links.Done
import sycamore.links.EndProgram
import sycamore.links.Message
import sycamore.links.Part
import sycamore.links.Refused
import sycamore.links.Whole
import sycamore.model.CallId
import sycamore.model.Generation
import sycamore.model.HostName
import sycamore.model.ProgramId
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import sycamore.programs.Request
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The caller of a trial. It sends a call to the entries in turn until it has an answer or a final refusal. */
internal class TrialCaller(
    private val fleet: Fleet,
    private val recorder: Recorder,
    private val probed: ProbedCall,
    private val tag: Tag = Tag("p1"),
) {
    private var turn = 0

    /** The id of the program, or null before its first call is accepted. */
    var program: ProgramId? = null
        private set

    /** The id of the probed call while it is in progress, otherwise null. */
    var probedId: CallId? = null
        private set

    /** The entry to which the current attempt is sent. */
    var entry: HostName = fleet.entries.first()
        private set

    /** The final refusals by turn. A turn that was answered has none. */
    val refusals = HashMap<Int, Refusal>()

    /** The latency of each turn, from its first attempt to its end. */
    val latencies = HashMap<Int, Duration>()

    /** Whether all turns have ended. */
    var isDone = false
        private set

    /** Runs the program. */
    suspend fun run() {
        recorder.record { ProgramBegan(it, tag, tag, Fleet.BUDGET.tokens) }
        call(isChat = true)
        call(isChat = probed == ProbedCall.CHAT, isProbed = true)
        delay(PAUSE_BETWEEN_TURNS)
        call(isChat = true)
        isDone = true
        endProgram()
        recorder.record { ProgramOver(it, tag) }
    }

    private suspend fun call(
        isChat: Boolean,
        isProbed: Boolean = false,
    ) {
        turn++
        val id = CallId.fromKey(Fleet.caller, program, "$tag-$turn")
        if (isProbed) probedId = id
        val startedAt = recorder.now()
        for (attempt in 1..MAX_ATTEMPTS) {
            val wait = attemptCall(id, attempt, isChat) ?: break
            delay(wait)
        }
        latencies[turn] = recorder.now() - startedAt
        probedId = null
    }

    /** Makes one attempt. Returns the delay before the next attempt, or null if the call has ended. */
    private suspend fun attemptCall(
        id: CallId,
        attempt: Int,
        isChat: Boolean,
    ): Duration? {
        entry = fleet.entries.filter { fleet.isUp(it) }.let { up -> up.getOrNull((attempt - 1) % maxOf(1, up.size)) }
            ?: return RETRY_DELAY
        val text = if (isChat) "$tag turn $turn" else "$tag deposit $turn"
        recorder.record { CallSent(it, tag, turn, id, attempt, entry, text, isChat) }
        val service = fleet.service(if (isChat) fleet.chatService else fleet.orderService)
        val replies = sendTo(fleet.daemonOn(entry)) { it.call(service, call(id, isChat, text)) }
        return receive(id, attempt, replies)
    }

    private suspend fun receive(
        id: CallId,
        attempt: Int,
        replies: Channel<Message>,
    ): Duration? {
        val text = ByteArrayOutputStream()
        while (true) {
            when (val reply = withTimeoutOrNull(REPLY_TIMEOUT) { replies.receiveCatching().getOrNull() }) {
                is Begun -> program = reply.program
                is Part -> text.write(reply.bytes)
                is Whole -> {
                    recorder.record { CallAnswered(it, tag, turn, id, attempt, text.toByteArray().decodeToString()) }
                    return null
                }
                is Refused -> return recordRefusal(id, attempt, reply.refusal)
                else -> {
                    recorder.record { CallBroke(it, tag, turn, id, attempt, "$reply") }
                    return RETRY_DELAY
                }
            }
        }
    }

    private fun recordRefusal(
        id: CallId,
        attempt: Int,
        refusal: Refusal,
    ): Duration? {
        recorder.record { CallRefused(it, tag, turn, id, attempt, refusal.outcome, refusal.detail) }
        val isFinal = refusal.outcome == Outcome.FAILED || refusal.retryAfter == null
        if (isFinal) refusals[turn] = refusal
        return if (isFinal) null else refusal.retryAfter
    }

    private fun call(
        id: CallId,
        isChat: Boolean,
        text: String,
    ) = Call(
        id = id,
        caller = Fleet.caller,
        service = if (isChat) fleet.chatService else fleet.orderService,
        program = program,
        parent = null,
        turn = turn,
        request = if (isChat) chat(text) else Request("POST", "/deposits", "text/plain", text.encodeToByteArray()),
        append = true,
        released = 0,
        releasedBody = ByteArray(0),
        timeLeft = CALL_TIME_LIMIT,
        generation = Generation.NONE,
    )

    private fun chat(text: String): Request {
        val message = """{"role":"user","content":"$text"}"""
        val body = """{"model":"${Fleet.model}","max_tokens":$MAX_TOKENS,"messages":[$message]}"""
        return Request("POST", "/v1/chat/completions", body = body.encodeToByteArray())
    }

    private suspend fun endProgram() {
        val id = program ?: return
        repeat(MAX_ATTEMPTS) {
            val up = fleet.entries.firstOrNull { fleet.isUp(it) }
            val replies = up?.let { host -> sendTo(fleet.daemonOn(host)) { it.ask(id, EndProgram(id, Fleet.caller)) } }
            val reply = replies?.let { withTimeoutOrNull(REPLY_TIMEOUT) { it.receiveCatching().getOrNull() } }
            if (reply is Done) return
            delay(RETRY_DELAY)
        }
    }

    /** Runs [request] in the process of [daemon], so that it ends when the daemon is killed. */
    private fun sendTo(
        daemon: RunningDaemon,
        request: (EntryDaemon) -> Flow<Message>,
    ): Channel<Message> {
        val replies = Channel<Message>(Channel.UNLIMITED)
        daemon.scope.launch {
            try {
                request(daemon.entry!!).collect { replies.send(it) }
                replies.close()
            } catch (e: Exception) {
                replies.close(e)
            }
        }
        return replies
    }

    private companion object {
        const val MAX_ATTEMPTS = 12
        const val MAX_TOKENS = 40
        val PAUSE_BETWEEN_TURNS = 1.seconds
        val RETRY_DELAY = 500.milliseconds
        val REPLY_TIMEOUT = 6.seconds
        val CALL_TIME_LIMIT = 20.seconds
    }
}
