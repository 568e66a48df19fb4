package sycamore.bench.load

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import sycamore.model.Address
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.coroutines.resume
import kotlin.coroutines.suspendCoroutine
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlin.time.TimeSource.Monotonic.ValueTimeMark

/** The shape of each program of the load: [turns] calls, each sent after the answer to the previous one. */
internal data class ProgramShape(
    val turns: Int,
    val model: String,
    val maxTokens: Int,
)

/**
 * Generates load on one side, the upstreams or the system's entries, by running programs against it.
 *
 * @property keepsHistory whether the called side keeps the history, so that each call carries only its new message.
 */
internal class LoadGenerator(
    private val client: ChatClient,
    private val targets: List<Address>,
    private val shape: ProgramShape,
    private val keepsHistory: Boolean,
) : AutoCloseable {
    private val nextTarget = AtomicInteger()
    private val timer =
        ScheduledThreadPoolExecutor(1) { task -> Thread(task, "arrivals").apply { isDaemon = true } }

    /** Keeps [programs] programs in progress for [time], in a closed loop that reaches the highest rate. */
    suspend fun saturate(
        programs: Int,
        time: Duration,
        tally: Tally,
    ) {
        val start = TimeSource.Monotonic.markNow()
        coroutineScope {
            repeat(programs) {
                launch {
                    while (start.elapsedNow() < time) runProgram(TimeSource.Monotonic.markNow(), tally) { start + time }
                }
            }
        }
    }

    /**
     * Starts programs by a fixed schedule for [time], at a rate of [callsPerSecond] divided by their turns.
     *
     * This is an open loop: latencies count from the scheduled time, even if the client falls behind.
     */
    suspend fun offer(
        callsPerSecond: Double,
        time: Duration,
        tally: Tally,
    ) {
        val interval = shape.turns.seconds / callsPerSecond
        val count = (time / interval).toInt()
        val start = TimeSource.Monotonic.markNow()
        coroutineScope {
            repeat(count) { i ->
                val due = start + interval * i
                awaitDue(due)
                launchProgram(this, due, tally)
            }
        }
    }

    private fun launchProgram(
        scope: CoroutineScope,
        due: ValueTimeMark,
        tally: Tally,
    ) {
        scope.launch { runProgram(due, tally) { null } }
    }

    /** Waits until [due] with a precision finer than the whole milliseconds of `delay`. */
    private suspend fun awaitDue(due: ValueTimeMark) {
        val wait = -due.elapsedNow()
        if (wait <= Duration.ZERO) return
        suspendCoroutine { continuation ->
            timer.schedule({ continuation.resume(Unit) }, wait.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        }
    }

    /** Runs one program that is scheduled for [due]. Calls that end after [limit] are not recorded. */
    private suspend fun runProgram(
        due: ValueTimeMark,
        tally: Tally,
        limit: () -> ValueTimeMark?,
    ) {
        val firstTarget = nextTarget.getAndIncrement()
        val conversation = Conversation(shape, keepsHistory)
        var program: String? = null
        var callDue = due
        for (turn in 1..shape.turns) {
            val result = call(firstTarget, conversation.requestBody(turn), program, turn)
            if (limit()?.let { result.endedAt > it } == true) return
            if (!recordResult(result, conversation.findError(turn, result), callDue, tally)) return
            conversation.addAnswer(result.text)
            program = result.program ?: program
            callDue = result.endedAt
        }
        tally.recordProgram(callDue - due)
    }

    /** Tries the targets one after the other, as a load balancer does, until one accepts the connection. */
    private suspend fun call(
        firstTarget: Int,
        body: ByteArray,
        program: String?,
        turn: Int,
    ): CallResult {
        var result = client.call(targets[firstTarget.mod(targets.size)], body, program, turn)
        for (i in 1 until targets.size) {
            if (result.failure != NOT_CONNECTED) return result
            result = client.call(targets[(firstTarget + i).mod(targets.size)], body, program, turn)
        }
        return result
    }

    private fun recordResult(
        result: CallResult,
        error: String?,
        due: ValueTimeMark,
        tally: Tally,
    ): Boolean {
        if (error != null) {
            tally.recordFailure(error)
            return false
        }
        tally.recordAnswer(result.endedAt - due, result.firstTokenAt?.let { it - due }, result.tokens)
        return true
    }

    override fun close() {
        timer.shutdownNow()
    }

    private companion object {
        const val NOT_CONNECTED = "ConnectException"
    }
}
