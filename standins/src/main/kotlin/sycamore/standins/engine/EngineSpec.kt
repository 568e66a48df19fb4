package sycamore.standins.engine

import sycamore.model.ModelName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The speed and size of one engine.
 *
 * @property stepBase time of a decoding step with an empty batch.
 * @property stepPerSequence what each sequence of the batch adds to a step.
 * @property stepPerContextToken what each token of context in the batch adds to a step.
 * @property prefillPerToken time to compute one prompt token that is not cached.
 * @property chunkTokens prompt tokens computed within one step at most.
 * @property maxBatch sequences worked on at once.
 * @property memoryTokens tokens of KV cache that fit into memory, for running sequences and cached prefixes together.
 * @property bytesPerToken bytes of KV cache per token.
 * @property models what the engine has loaded at its start.
 * @property modelBytes size of one model's weights.
 * @property weightsPerSecond bytes of weights that the engine loads in a second.
 * @property checksFencing whether an order with an old fencing number is refused.
 */
data class EngineSpec(
    val stepBase: Duration = 1.milliseconds,
    val stepPerSequence: Duration = 20.microseconds,
    val stepPerContextToken: Duration = 5.nanoseconds,
    val prefillPerToken: Duration = 20.microseconds,
    val chunkTokens: Int = 512,
    val maxBatch: Int = 64,
    val memoryTokens: Long = 500_000,
    val bytesPerToken: Long = 131_072,
    val models: Set<ModelName> = emptySet(),
    val modelBytes: Long = 16L shl 30,
    val weightsPerSecond: Long = 2L shl 30,
    val checksFencing: Boolean = false,
) {
    /** Duration of one step of [sequences] with [context] tokens together, of which [prefill] are computed anew. */
    fun step(
        sequences: Int,
        context: Long,
        prefill: Int,
    ): Duration =
        stepBase + stepPerSequence * sequences + stepPerContextToken * context.toDouble() + prefillPerToken * prefill
}

/**
 * How an engine's reports fall short of the truth.
 *
 * @property eventLag how long a cache event stays invisible.
 * @property eventLoss share of cache events that are never shown; their numbers are missing.
 * @property loadLag age of the load that is reported.
 * @property seed of the draws.
 */
data class EngineFaults(
    val eventLag: Duration = 500.milliseconds,
    val eventLoss: Double = 0.0,
    val loadLag: Duration = 1.seconds,
    val seed: Long = 1,
)
