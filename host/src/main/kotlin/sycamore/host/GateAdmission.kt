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

/** Admits calls to the upstream in the order of [queue], unless the circuit breaker of the upstream is open. */
internal class GateAdmission(
    private val queue: GateQueue,
    time: TimeSource,
) {
    private class Measurement(
        val call: ServedCall?,
        val tool: String?,
    )

    private val start = time.markNow()
    private val now: Duration get() = start.elapsedNow()
    private val measurements = ConcurrentHashMap<String, Measurement>()

    @Volatile
    private var breaker: Breaker = Breaker.Closed()

    /** Whether the circuit breaker lets calls through to the upstream. */
    val isAccepting: Boolean get() = breaker.allows(now)

    /** Invokes [run] once [forward] may be sent, or returns a refusal if it will not be. A refused call has not run. */
    suspend fun admit(
        forward: Forward,
        run: suspend () -> Unit,
    ): Refusal? {
        if (!isAccepting) return breakerOpen()
        return when (val result = queue.admit(queued(forward))) {
            is QueueResult.Refused -> refusal(result.shed.reason, result.shed.retryAfter)
            is QueueResult.Granted -> runGranted(result.ticket, forward, run)
        }
    }

    private suspend fun runGranted(
        ticket: Ticket,
        forward: Forward,
        run: suspend () -> Unit,
    ): Refusal? {
        try {
            if (!tryPassBreaker()) return breakerOpen()
            run()
            return null
        } finally {
            val measurement = measurements.remove(forward.id.value)
            ticket.close(measurement?.call, measurement?.tool)
        }
    }

    private fun tryPassBreaker(): Boolean =
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
            maxOutputTokens = MAX_OUTPUT_TOKENS,
            isNew = forward.isNew,
            timeLeft = forward.timeLeft,
        )
    }

    /** Wraps [send] so that the results of its calls update the estimates of the queue and the circuit breaker. */
    fun observed(send: CallUpstream): CallUpstream = { upstream, forward -> observe(send, upstream, forward) }

    private fun observe(
        send: CallUpstream,
        upstream: Upstream,
        forward: Forward,
    ): Flow<UpstreamEvent> =
        flow {
            val began = now
            var firstToken: Duration? = null
            var isSuccess = false
            try {
                send(upstream, forward).collect { event ->
                    if (event is UpstreamEvent.Bytes && firstToken == null) firstToken = now - began
                    if (event is UpstreamEvent.End) {
                        isSuccess = event.status < SERVER_ERROR
                        measurements[forward.id.value] = measurement(event, firstToken ?: (now - began), now - began)
                    }
                    emit(event)
                }
            } catch (e: kotlinx.coroutines.CancellationException) {
                isSuccess = true
                throw e
            } finally {
                updateBreaker(isSuccess)
            }
        }

    private fun updateBreaker(isSuccess: Boolean) =
        synchronized(this) { breaker = if (isSuccess) breaker.succeeded() else breaker.failed(now) }

    private fun measurement(
        end: UpstreamEvent.End,
        firstToken: Duration,
        duration: Duration,
    ): Measurement {
        if (end.status !in SUCCESS) return Measurement(null, null)
        val usage = end.usage
        val computed = (usage.promptTokens - usage.cachedTokens).coerceAtLeast(0)
        val call = ServedCall(computed, usage.cachedTokens, usage.completionTokens, firstToken, duration)
        return Measurement(call, end.toolCalls?.let(::toolName))
    }

    private fun breakerOpen(): Refusal = refusal("the upstream failed several times in a row", BREAKER_RETRY_AFTER)

    private fun refusal(
        reason: String,
        retryAfter: Duration,
    ) = Refusal(Outcome.NOT_RUN, UNAVAILABLE, reason, retryAfter)

    private companion object {
        const val UNAVAILABLE = 503
        const val SERVER_ERROR = 500
        const val BYTES_PER_TOKEN = 4
        const val MAX_OUTPUT_TOKENS = 4_096L
        val SUCCESS = 200..299
        val BREAKER_RETRY_AFTER = 2.seconds

        /** Returns the name of the first function in the JSON array [toolCalls], or null if there is none. */
        fun toolName(toolCalls: String): String? {
            val call = (Json.parseToJsonElement(toolCalls) as? JsonArray)?.firstOrNull() as? JsonObject
            val function = call?.get("function") as? JsonObject
            return (function?.get("name") as? JsonPrimitive)?.contentOrNull
        }
    }
}
