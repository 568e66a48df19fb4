package sycamore.standins.engine

import sycamore.services.EngineRole
import java.util.PriorityQueue
import kotlin.time.Duration

/**
 * A simulation of continuous batching. Calls join the batch in order of arrival, as soon as the batch and the
 * memory have room. Each step generates one token for every decoding sequence, and computes one chunk of the
 * oldest prompt that is not fully computed yet.
 *
 * All steps between two changes of the batch are simulated at once, so that the cost of simulating a call does
 * not grow with its number of tokens. A call that arrives during a step joins that step.
 */
internal class EngineBatch(
    private val spec: EngineSpec,
    private val cache: PrefixCache,
    private val onSteps: (step: Duration, steps: Long, sequences: Int) -> Unit,
) {
    private val waiting = ArrayDeque<RunningCall>()
    private val prefills = ArrayDeque<RunningCall>()
    private val decoding = PriorityQueue<RunningCall>(compareBy { it.lastStep })
    private var time = Duration.ZERO
    private var completedSteps = 0L
    private var contextTokens = 0L

    /** The engine's role, which determines the size of the prompt chunks. */
    var role = EngineRole.MIXED

    /** The number of calls that wait for room in the batch. */
    val queued: Int get() = waiting.size

    /** The number of calls in the batch. */
    val running: Int get() = prefills.size + decoding.size

    /** The time spent in steps so far. */
    var busy: Duration = Duration.ZERO
        private set

    /** Adds [call] to the queue. */
    fun submit(call: RunningCall) {
        waiting += call
    }

    /** The time of the batch's next change if no call arrives, or null if it is empty. Call [advance] first. */
    fun timeOfNextChange(): Duration? =
        if (running == 0) null else time + stepDuration() * stepsUntilChange().toDouble()

    /** The time at which the current step ends, or null if the batch is empty. */
    fun endOfStep(): Duration? = if (running == 0) null else time + stepDuration()

    /** Simulates all steps that end by [now]. */
    fun advance(now: Duration) {
        if (running == 0) time = maxOf(time, now)
        admit()
        while (running > 0) {
            val duration = stepDuration()
            val possible = ((now - time) / duration + ROUNDING_TOLERANCE).toLong()
            val steps = minOf(possible, stepsUntilChange())
            if (steps <= 0) return
            runSteps(steps, duration)
            admit()
        }
        time = maxOf(time, now)
    }

    /** Updates the number of generated tokens of each decoding call. */
    fun publishProgress() =
        decoding.forEach { call ->
            call.generatedTokens.value =
                (completedSteps - call.firstStep).toInt().coerceIn(0, call.call.answer.tokens)
        }

    /** Removes [call] from the queue or the batch. */
    fun cancel(call: RunningCall) {
        when {
            waiting.remove(call) -> Unit
            prefills.remove(call) -> {
                cache.unpin(call.call.prompt, call.cachedBlocks)
                cache.release(call.reservedTokens.toLong())
            }
            decoding.remove(call) -> {
                contextTokens -= contextTokensOf(call)
                cache.unpin(call.call.prompt, call.call.prompt.size)
                cache.release(
                    call.call.answer.tokens
                        .toLong(),
                )
            }
        }
        call.end.complete(CallEnd.Cancelled)
    }

    private fun stepDuration(): Duration {
        val chunk = prefills.firstOrNull()?.let { minOf(chunkTokens, it.uncachedTokens - it.computedTokens) } ?: 0
        return spec.stepDuration(decoding.size + if (chunk > 0) 1 else 0, contextTokens, chunk)
    }

    private fun stepsUntilChange(): Long {
        val prefill =
            prefills.firstOrNull()?.let { stepsOfFullChunks(it.uncachedTokens - it.computedTokens) } ?: Long.MAX_VALUE
        val decode = decoding.peek()?.let { it.lastStep - completedSteps + 1 } ?: Long.MAX_VALUE
        return maxOf(1, minOf(prefill, decode))
    }

    private val chunkTokens: Int
        get() =
            when (role) {
                EngineRole.MIXED -> spec.chunkTokens
                EngineRole.PREFILL -> spec.chunkTokens * ROLE_CHUNK_FACTOR
                EngineRole.DECODE -> maxOf(1, spec.chunkTokens / ROLE_CHUNK_FACTOR)
            }

    /** The number of steps until the size of the computed chunks changes, for a prompt with [tokens] left. */
    private fun stepsOfFullChunks(tokens: Int): Long = maxOf(1L, tokens.toLong() / chunkTokens)

    private fun runSteps(
        steps: Long,
        duration: Duration,
    ) {
        onSteps(duration, steps, decoding.size)
        time += duration * steps.toDouble()
        busy += duration * steps.toDouble()
        completedSteps += steps
        contextTokens += decoding.size * steps
        finishDecoding()
        prefills.firstOrNull()?.let { call ->
            call.computedTokens =
                minOf(call.uncachedTokens.toLong(), call.computedTokens + steps * chunkTokens).toInt()
            if (call.computedTokens == call.uncachedTokens) beginDecoding(prefills.removeFirst())
        }
    }

    private fun beginDecoding(call: RunningCall) {
        val prompt = call.call.prompt
        call.firstTokenAt = time
        call.firstStep = completedSteps
        cache.release(call.uncachedTokens.toLong())
        cache.store(prompt, call.call.program, isPinned = true)
        cache.pinFrom(prompt, call.cachedBlocks, call.call.program)
        contextTokens += call.call.promptTokens
        decoding += call
    }

    private fun finishDecoding() {
        while (true) {
            val call = decoding.peek()?.takeIf { it.lastStep < completedSteps } ?: return
            decoding.poll()
            val request = call.call
            contextTokens -= contextTokensOf(call)
            cache.release(request.answer.tokens.toLong())
            cache.unpin(request.prompt, request.prompt.size)
            cache.store(request.prompt + request.answer, request.program, isPinned = false)
            call.generatedTokens.value = request.answer.tokens
            call.end.complete(CallEnd.Finished(call.cachedTokens, call.uncachedTokens, call.firstTokenAt, time))
        }
    }

    private fun contextTokensOf(call: RunningCall): Long = call.call.promptTokens + (completedSteps - call.firstStep)

    private fun admit() {
        while (running < spec.maxBatch) {
            val call = waiting.firstOrNull() ?: return
            call.cachedTokens = cache.cachedTokens(call.call.prompt)
            call.cachedBlocks = cache.cachedBlocks(call.call.prompt)
            call.uncachedTokens = call.call.promptTokens - call.cachedTokens
            if (!cache.reserve(call.call.prompt, call.reservedTokens.toLong(), call.call.program)) return
            waiting.removeFirst()
            prefills += call
        }
    }

    private companion object {
        /** Fraction of a step that compensates for rounding errors when a whole number of steps fits. */
        const val ROUNDING_TOLERANCE = 1e-6

        /** Factor by which prompt chunks are larger on a prefill engine, and smaller on a decode engine. */
        const val ROLE_CHUNK_FACTOR = 4
    }
}
