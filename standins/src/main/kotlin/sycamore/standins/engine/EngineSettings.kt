package sycamore.standins.engine

import sycamore.model.Address
import sycamore.model.ModelName
import sycamore.model.TomlReader

/** The address, the speed and the faults of one simulated engine in a settings file. */
data class EngineSettings(
    val address: Address,
    val spec: EngineSpec,
    val faults: EngineFaults,
) {
    companion object {
        /** Reads an engine from its table. Missing keys take the defaults of [EngineSpec] and [EngineFaults]. */
        fun read(reader: TomlReader): EngineSettings =
            EngineSettings(reader.address("address"), spec(reader), faults(reader))

        private fun spec(reader: TomlReader): EngineSpec {
            val defaults = EngineSpec()
            return EngineSpec(
                stepBase = reader.duration("step", defaults.stepBase),
                stepPerSequence = reader.duration("step_per_sequence", defaults.stepPerSequence),
                prefillPerToken = reader.duration("prefill_per_token", defaults.prefillPerToken),
                chunkTokens = reader.long("chunk_tokens", defaults.chunkTokens.toLong(), 1L..Int.MAX_VALUE).toInt(),
                maxBatch = reader.long("max_batch", defaults.maxBatch.toLong(), 1L..Int.MAX_VALUE).toInt(),
                memoryTokens = reader.long("memory_tokens", defaults.memoryTokens),
                models = reader.strings("models").map(::ModelName).toSet(),
                checksFencing = reader.boolean("checks_fencing", false),
            )
        }

        private fun faults(reader: TomlReader): EngineFaults {
            val defaults = EngineFaults()
            return EngineFaults(
                eventLag = reader.duration("event_lag", defaults.eventLag),
                eventLoss = reader.double("event_loss", defaults.eventLoss),
                loadLag = reader.duration("load_lag", defaults.loadLag),
            )
        }
    }
}
