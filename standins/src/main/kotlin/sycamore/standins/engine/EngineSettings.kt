package sycamore.standins.engine

import sycamore.model.Address
import sycamore.model.ModelName
import sycamore.model.TomlReader

/** One engine among the stand-ins that a settings file names. */
data class EngineSettings(
    val address: Address,
    val spec: EngineSpec,
    val faults: EngineFaults,
) {
    companion object {
        /** Takes an engine out of its table. Keys that are missing take the defaults of [EngineSpec]. */
        fun read(reader: TomlReader): EngineSettings =
            EngineSettings(reader.address("address"), spec(reader), faults(reader))

        private fun spec(reader: TomlReader): EngineSpec {
            val standard = EngineSpec()
            return EngineSpec(
                stepBase = reader.duration("step", standard.stepBase),
                stepPerSequence = reader.duration("step_per_sequence", standard.stepPerSequence),
                prefillPerToken = reader.duration("prefill_per_token", standard.prefillPerToken),
                chunkTokens = reader.long("chunk_tokens", standard.chunkTokens.toLong(), 1L..Int.MAX_VALUE).toInt(),
                maxBatch = reader.long("max_batch", standard.maxBatch.toLong(), 1L..Int.MAX_VALUE).toInt(),
                memoryTokens = reader.long("memory_tokens", standard.memoryTokens),
                models = reader.strings("models").map(::ModelName).toSet(),
                checksFencing = reader.boolean("checks_fencing", false),
            )
        }

        private fun faults(reader: TomlReader): EngineFaults {
            val standard = EngineFaults()
            return EngineFaults(
                eventLag = reader.duration("event_lag", standard.eventLag),
                eventLoss = reader.double("event_loss", standard.eventLoss),
                loadLag = reader.duration("load_lag", standard.loadLag),
            )
        }
    }
}
