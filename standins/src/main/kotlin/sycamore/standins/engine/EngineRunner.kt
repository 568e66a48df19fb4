package sycamore.standins.engine

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Drives an [engine] by the clock [time], which may be a virtual one. */
class EngineRunner(
    val engine: Engine,
    time: TimeSource,
) {
    private val start: TimeMark = time.markNow()
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val watchers = AtomicInteger()

    /** Time since the engine's start. */
    val now: Duration get() = start.elapsedNow()

    /** Lets the engine work until cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            val next = engine.advance(now, eachStep = watchers.get() > 0)
            if (next == null) wake.receive() else withTimeoutOrNull(next - now) { wake.receive() }
        }
    }

    /** Gives [call] to the engine. */
    fun submit(call: EngineCall): RunningCall = engine.submit(call, now).also { wake.trySend(Unit) }

    /** Runs [call] to its end. */
    suspend fun complete(call: EngineCall): CallEnd {
        val running = submit(call)
        val end = running.end.await()
        engine.forget(running)
        if (end is CallEnd.Finished) engine.account(end)
        return end
    }

    /** Cancels the call known as [id]. */
    fun cancel(id: String): Boolean = engine.cancel(id, now).also { wake.trySend(Unit) }

    /** Keeps [RunningCall.produced] up to date, token by token, while [read] runs. */
    suspend fun <T> watch(read: suspend () -> T): T {
        watchers.incrementAndGet()
        wake.trySend(Unit)
        try {
            return read()
        } finally {
            watchers.decrementAndGet()
        }
    }
}
