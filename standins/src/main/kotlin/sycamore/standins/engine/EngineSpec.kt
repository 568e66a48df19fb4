package sycamore.standins.engine

import sycamore.model.ModelName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The speed and size of one simulated engine.
 *
 * @property stepBase the duration of a decoding step with an empty batch.
 * @property stepPerSequence the time that each sequence of the batch adds to a step.
 * @property stepPerContextToken the time that each token of context in the batch adds to a step.
 * @property prefillPerToken the time to compute one prompt token that is not cached.
 * @property chunkTokens the largest number of prompt tokens computed within one step.
 * @property maxBatch the largest number of sequences in the batch.
 * @property memoryTokens the number of KV cache tokens that fit into memory, for running sequences and cached
 *   prefixes together.
 * @property bytesPerToken the size of the KV cache of one token, in bytes.
 * @property models the models that are loaded at the engine's start.
 * @property modelBytes the size of one model's weights.
 * @property weightsPerSecond the bytes of downloaded weights that the engine loads into its memory per second.
 * @property checksFencing whether the engine refuses an order with an old fencing number.
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
    /**
     * The duration of one step.
     *
     * @param sequences the number of sequences that take part in the step.
     * @param context the total number of context tokens of the sequences.
     * @param prefill the number of prompt tokens that are computed in the step.
     */
    fun stepDuration(
        sequences: Int,
        context: Long,
        prefill: Int,
    ): Duration =
        stepBase + stepPerSequence * sequences + stepPerContextToken * context.toDouble() + prefillPerToken * prefill
}

/**
 * The delays and losses that are injected into an engine's reports.
 *
 * @property eventLag the delay after which a cache event becomes visible.
 * @property eventLoss the share of cache events that are never reported and leave gaps in the event numbers.
 * @property loadLag the age of the reported load.
 * @property seed the seed of the random choice of lost events.
 */
data class EngineFaults(
    val eventLag: Duration = 500.milliseconds,
    val eventLoss: Double = 0.0,
    val loadLag: Duration = 1.seconds,
    val seed: Long = 1,
)
