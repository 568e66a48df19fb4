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

/** What a program of the load does: [turns] calls, each after the answer to the one before. */
internal data class ProgramShape(
    val turns: Int,
    val model: String,
    val maxTokens: Int,
)

/**
 * Runs programs against one side: the upstreams themselves, or the system's entries.
 *
 * @property keepsHistory whether the other side keeps the history, so that each call sends only its new message.
 */
internal class Traffic(
    private val client: ChatClient,
    private val targets: List<Address>,
    private val shape: ProgramShape,
    private val keepsHistory: Boolean,
) : AutoCloseable {
    private val next = AtomicInteger()
    private val timer =
        ScheduledThreadPoolExecutor(1) { task -> Thread(task, "arrivals").apply { isDaemon = true } }

    /** Keeps [programs] programs under way for [time]: a closed loop that finds the highest rate. */
    suspend fun saturate(
        programs: Int,
        time: Duration,
        tally: Tally,
    ) {
        val start = TimeSource.Monotonic.markNow()
        coroutineScope {
            repeat(programs) {
                launch { while (start.elapsedNow() < time) run(TimeSource.Monotonic.markNow(), tally) { start + time } }
            }
        }
    }

    /**
     * Starts programs at [callsPerSecond] divided by their turns, by a fixed schedule, for [time].
     *
     * An open loop: latency counts from the scheduled moment, whether or not the client was able to keep to it.
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
                await(due)
                launchProgram(this, due, tally)
            }
        }
    }

    private fun launchProgram(
        scope: CoroutineScope,
        due: ValueTimeMark,
        tally: Tally,
    ) {
        scope.launch { run(due, tally) { null } }
    }

    /** Waits for [due] more exactly than whole milliseconds. */
    private suspend fun await(due: ValueTimeMark) {
        val wait = -due.elapsedNow()
        if (wait <= Duration.ZERO) return
        suspendCoroutine { continuation ->
            timer.schedule({ continuation.resume(Unit) }, wait.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        }
    }

    /** Runs one program that is due at [due]. Calls that end after [limit] are not counted. */
    private suspend fun run(
        due: ValueTimeMark,
        tally: Tally,
        limit: () -> ValueTimeMark?,
    ) {
        val first = next.getAndIncrement()
        val conversation = Conversation(shape, keepsHistory)
        var program: String? = null
        var callDue = due
        for (turn in 1..shape.turns) {
            val result = call(first, conversation.ask(turn), program, turn)
            if (limit()?.let { result.ended > it } == true) return
            if (!count(result, conversation.fault(turn, result), callDue, tally)) return
            conversation.answered(result.text)
            program = result.program ?: program
            callDue = result.ended
        }
        tally.completed(callDue - due)
    }

    /** Calls the targets in turn, as a balancer does, until one accepts the connection. */
    private suspend fun call(
        first: Int,
        body: ByteArray,
        program: String?,
        turn: Int,
    ): CallResult {
        var result = client.call(targets[first.mod(targets.size)], body, program, turn)
        for (i in 1 until targets.size) {
            if (result.failure != NOT_CONNECTED) return result
            result = client.call(targets[(first + i).mod(targets.size)], body, program, turn)
        }
        return result
    }

    private fun count(
        result: CallResult,
        fault: String?,
        due: ValueTimeMark,
        tally: Tally,
    ): Boolean {
        if (fault != null) {
            tally.failed(fault)
            return false
        }
        tally.answered(result.ended - due, result.firstToken?.let { it - due }, result.tokens)
        return true
    }

    override fun close() {
        timer.shutdownNow()
    }

    private companion object {
        const val NOT_CONNECTED = "ConnectException"
    }
}
