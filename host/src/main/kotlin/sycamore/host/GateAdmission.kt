package sycamore.host

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import sycamore.decisions.Breaker
import sycamore.decisions.ServedCall
import sycamore.links.Forward
import sycamore.model.Upstream
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Lets calls at the upstream when it is their turn in [queue] and the upstream's breaker is closed. */
internal class GateAdmission(
    private val queue: GateQueue,
    time: TimeSource,
) {
    private class Served(
        val call: ServedCall?,
        val tool: String?,
    )

    private val start = time.markNow()
    private val now: Duration get() = start.elapsedNow()
    private val served = ConcurrentHashMap<String, Served>()

    @Volatile
    private var breaker: Breaker = Breaker.Closed()

    /** Whether the upstream is thought to work. */
    val isAccepting: Boolean get() = breaker.allows(now)

    /** Runs [run] when it is the turn of [forward], or returns why it never will. A refused call has not run. */
    suspend fun admit(
        forward: Forward,
        run: suspend () -> Unit,
    ): Refusal? {
        if (!isAccepting) return broken()
        return when (val turn = queue.admit(queued(forward))) {
            is Turn.Refused -> refusal(turn.shed.reason, turn.shed.retryAfter)
            is Turn.Granted -> runGranted(turn.ticket, forward, run)
        }
    }

    private suspend fun runGranted(
        ticket: Ticket,
        forward: Forward,
        run: suspend () -> Unit,
    ): Refusal? {
        try {
            if (!takeOff()) return broken()
            run()
            return null
        } finally {
            val result = served.remove(forward.id.value)
            ticket.close(result?.call, result?.tool)
        }
    }

    private fun takeOff(): Boolean =
        synchronized(this) {
            val isAllowed = breaker.allows(now)
            if (isAllowed) breaker = breaker.sent(now)
            isAllowed
        }

    private fun queued(forward: Forward): QueuedCall {
        val estimate = forward.request.body.size / BYTES_PER_TOKEN
        return QueuedCall(
            id = forward.id,
            program = forward.program.toString(),
            root = (forward.root ?: forward.program).toString(),
            caller = forward.caller,
            promptTokens = if (forward.promptTokens > 0) forward.promptTokens else estimate.toLong(),
            maxOutputTokens = MAX_OUTPUT,
            isNew = forward.isNew,
            timeLeft = forward.timeLeft,
        )
    }

    /** [send] with its calls observed: how they went feeds the queue's estimates and the breaker. */
    fun observed(send: CallUpstream): CallUpstream = { upstream, forward -> observe(send, upstream, forward) }

    private fun observe(
        send: CallUpstream,
        upstream: Upstream,
        forward: Forward,
    ): Flow<UpstreamEvent> =
        flow {
            val began = now
            var firstToken: Duration? = null
            var isWhole = false
            try {
                send(upstream, forward).collect { event ->
                    if (event is UpstreamEvent.Bytes && firstToken == null) firstToken = now - began
                    if (event is UpstreamEvent.End) {
                        isWhole = event.status < SERVER_ERROR
                        served[forward.id.value] = served(event, firstToken ?: (now - began), now - began)
                    }
                    emit(event)
                }
            } catch (e: kotlinx.coroutines.CancellationException) {
                isWhole = true
                throw e
            } finally {
                ended(isWhole)
            }
        }

    private fun ended(isWhole: Boolean) =
        synchronized(this) { breaker = if (isWhole) breaker.succeeded() else breaker.failed(now) }

    private fun served(
        end: UpstreamEvent.End,
        firstToken: Duration,
        whole: Duration,
    ): Served {
        if (end.status !in SUCCESS) return Served(null, null)
        val usage = end.usage
        val computed = (usage.promptTokens - usage.cachedTokens).coerceAtLeast(0)
        val call = ServedCall(computed, usage.cachedTokens, usage.completionTokens, firstToken, whole)
        return Served(call, end.toolCalls?.let(::toolName))
    }

    private fun broken(): Refusal = refusal("the upstream failed several times in a row", RETRY_BROKEN)

    private fun refusal(
        reason: String,
        retryAfter: Duration,
    ) = Refusal(Outcome.NOT_RUN, UNAVAILABLE, reason, retryAfter)

    private companion object {
        const val UNAVAILABLE = 503
        const val SERVER_ERROR = 500
        const val BYTES_PER_TOKEN = 4
        const val MAX_OUTPUT = 4_096L
        val SUCCESS = 200..299
        val RETRY_BROKEN = 2.seconds

        /** The name of the first function that [toolCalls], a JSON array, calls; null when there is none. */
        fun toolName(toolCalls: String): String? {
            val call = (Json.parseToJsonElement(toolCalls) as? JsonArray)?.firstOrNull() as? JsonObject
            val function = call?.get("function") as? JsonObject
            return (function?.get("name") as? JsonPrimitive)?.contentOrNull
        }
    }
}
