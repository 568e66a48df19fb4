package sycamore.standins.engine

import sycamore.services.EngineRole
import java.util.PriorityQueue
import kotlin.time.Duration

/**
 * Continuous batching: calls join in arrival order as soon as batch and memory have room, and each step gives every
 * sequence of the batch one token while the oldest prompt not yet computed advances by one chunk.
 *
 * Steps between two changes of the batch are taken at once, so that the cost of simulating a call does not grow with
 * its tokens. A call that arrives during a step joins that step.
 */
internal class EngineBatch(
    private val spec: EngineSpec,
    private val cache: PrefixCache,
    private val onSteps: (step: Duration, steps: Long, sequences: Int) -> Unit,
) {
    private val waiting = ArrayDeque<RunningCall>()
    private val prefills = ArrayDeque<RunningCall>()
    private val decoding = PriorityQueue<RunningCall>(compareBy { it.lastStep })
    private var clock = Duration.ZERO
    private var step = 0L
    private var context = 0L

    /** Sets how large a chunk of prompt joins a step. */
    var role = EngineRole.MIXED

    /** Calls that wait for room in the batch. */
    val queued: Int get() = waiting.size

    /** Calls in the batch. */
    val running: Int get() = prefills.size + decoding.size

    /** Time spent in steps so far. */
    var busy: Duration = Duration.ZERO
        private set

    /** Takes [call], which waits for its turn. */
    fun submit(call: RunningCall) {
        waiting += call
    }

    /** When the batch changes next if nothing arrives, or null when it is empty. Call [advance] first. */
    fun nextChange(): Duration? = if (running == 0) null else clock + stepTime() * stepsToChange().toDouble()

    /** When the step in progress ends, or null when the batch is empty. */
    fun nextStep(): Duration? = if (running == 0) null else clock + stepTime()

    /** Takes all steps that end by [now]. */
    fun advance(now: Duration) {
        if (running == 0) clock = maxOf(clock, now)
        admit()
        while (running > 0) {
            val time = stepTime()
            val possible = ((now - clock) / time + ROUNDING).toLong()
            val steps = minOf(possible, stepsToChange())
            if (steps <= 0) return
            take(steps, time)
            admit()
        }
        clock = maxOf(clock, now)
    }

    /** Tells each watched call of the batch how far it has come. */
    fun report() =
        decoding.forEach { call ->
            call.produced.value = (step - call.firstStep).toInt().coerceIn(0, call.call.answer.tokens)
        }

    /** Takes [call] out of the queue or the batch. */
    fun cancel(call: RunningCall) {
        when {
            waiting.remove(call) -> Unit
            prefills.remove(call) -> {
                cache.unpin(call.call.prompt, call.depth)
                cache.release(call.reserved.toLong())
            }
            decoding.remove(call) -> {
                context -= contextOf(call)
                cache.unpin(call.call.prompt, call.call.prompt.size)
                cache.release(
                    call.call.answer.tokens
                        .toLong(),
                )
            }
        }
        call.end.complete(CallEnd.Cancelled)
    }

    private fun stepTime(): Duration {
        val chunk = prefills.firstOrNull()?.let { minOf(chunkTokens, it.toCompute - it.computed) } ?: 0
        return spec.stepDuration(decoding.size + if (chunk > 0) 1 else 0, context, chunk)
    }

    private fun stepsToChange(): Long {
        val prefill = prefills.firstOrNull()?.let { fullChunks(it.toCompute - it.computed) } ?: Long.MAX_VALUE
        val decode = decoding.peek()?.let { it.lastStep - step + 1 } ?: Long.MAX_VALUE
        return maxOf(1, minOf(prefill, decode))
    }

    private val chunkTokens: Int
        get() =
            when (role) {
                EngineRole.MIXED -> spec.chunkTokens
                EngineRole.PREFILL -> spec.chunkTokens * ROLE_FACTOR
                EngineRole.DECODE -> maxOf(1, spec.chunkTokens / ROLE_FACTOR)
            }

    /** Steps until the chunk's size changes. */
    private fun fullChunks(tokens: Int): Long = maxOf(1L, tokens.toLong() / chunkTokens)

    private fun take(
        steps: Long,
        time: Duration,
    ) {
        onSteps(time, steps, decoding.size)
        clock += time * steps.toDouble()
        busy += time * steps.toDouble()
        step += steps
        context += decoding.size * steps
        finishDecoding()
        prefills.firstOrNull()?.let { call ->
            call.computed = minOf(call.toCompute.toLong(), call.computed + steps * chunkTokens).toInt()
            if (call.computed == call.toCompute) beginDecoding(prefills.removeFirst())
        }
    }

    private fun beginDecoding(call: RunningCall) {
        val prompt = call.call.prompt
        call.firstToken = clock
        call.firstStep = step
        cache.release(call.toCompute.toLong())
        cache.store(prompt, call.call.program, pinnedToo = true)
        cache.pinFrom(prompt, call.depth, call.call.program)
        context += call.call.promptTokens
        decoding += call
    }

    private fun finishDecoding() {
        while (true) {
            val call = decoding.peek()?.takeIf { it.lastStep < step } ?: return
            decoding.poll()
            val asked = call.call
            context -= contextOf(call)
            cache.release(asked.answer.tokens.toLong())
            cache.unpin(asked.prompt, asked.prompt.size)
            cache.store(asked.prompt + asked.answer, asked.program, pinnedToo = false)
            call.produced.value = asked.answer.tokens
            call.end.complete(CallEnd.Finished(call.cached, call.toCompute, call.firstToken, clock))
        }
    }

    private fun contextOf(call: RunningCall): Long = call.call.promptTokens + (step - call.firstStep)

    private fun admit() {
        while (running < spec.maxBatch) {
            val call = waiting.firstOrNull() ?: return
            call.cached = cache.match(call.call.prompt)
            call.depth = cache.depth(call.call.prompt)
            call.toCompute = call.call.promptTokens - call.cached
            if (!cache.reserve(call.call.prompt, call.reserved.toLong(), call.call.program)) return
            waiting.removeFirst()
            prefills += call
        }
    }

    private companion object {
        /** Makes up for rounding when a whole number of steps fits. */
        const val ROUNDING = 1e-6

        /** How much larger or smaller chunks are on an engine that is set up for one part of the work. */
        const val ROLE_FACTOR = 4
    }
}
