package sycamore.standins.engine

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Runs [engine] by the clock [time], which may be virtual. */
class EngineRunner(
    val engine: Engine,
    time: TimeSource,
) {
    private val start: TimeMark = time.markNow()
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val progressReaders = AtomicInteger()

    /** The time since the engine's start. */
    val now: Duration get() = start.elapsedNow()

    /** Advances the engine with the clock until cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            val next = engine.advance(now, eachStep = progressReaders.get() > 0)
            if (next == null) wake.receive() else withTimeoutOrNull(next - now) { wake.receive() }
        }
    }

    /** Submits [call] to the engine. */
    fun submit(call: EngineCall): RunningCall = engine.submit(call, now).also { wake.trySend(Unit) }

    /** Submits [call], waits until it ends, and adds it to the engine's statistics. */
    suspend fun complete(call: EngineCall): CallEnd {
        val running = submit(call)
        val end = running.end.await()
        engine.discard(running)
        if (end is CallEnd.Finished) engine.recordUsage(end)
        return end
    }

    /** Cancels the call with [id]. Returns false if no such call is in progress. */
    fun cancel(id: String): Boolean = engine.cancel(id, now).also { wake.trySend(Unit) }

    /** Runs [block], and updates [RunningCall.generatedTokens] after each step in the meantime. */
    suspend fun <T> trackProgress(block: suspend () -> T): T {
        progressReaders.incrementAndGet()
        wake.trySend(Unit)
        try {
            return block()
        } finally {
            progressReaders.decrementAndGet()
        }
    }
}
