package sycamore.bench.soak

/**
 * How much one process grew in the later half of its run, when it should be flat.
 *
 * Each figure is the median of the last quarter less the median of the third.
 */
internal data class Growth(
    val process: String,
    val residentMegabytes: Double,
    val threads: Double,
    val descriptors: Double,
) {
    companion object {
        private const val QUARTERS = 4

        /** Samples that a process needs for its growth to say anything. */
        const val MIN_SAMPLES = 8

        /** The growth of each process that ran from the first of [samples] to the last. */
        fun of(samples: List<SoakSample>): List<Growth> {
            val end = samples.maxOfOrNull { it.at } ?: return emptyList()
            val start = samples.minOf { it.at }
            return samples
                .groupBy { it.process to it.pid }
                .filterValues { run -> run.size >= MIN_SAMPLES && run.first().at == start && run.last().at == end }
                .map { (key, run) -> of(key.first, run) }
        }

        private fun of(
            process: String,
            run: List<SoakSample>,
        ): Growth {
            val quarter = run.size / QUARTERS
            val third = run.subList(run.size - 2 * quarter, run.size - quarter)
            val last = run.subList(run.size - quarter, run.size)
            return Growth(
                process,
                median(last) { it.residentMegabytes } - median(third) { it.residentMegabytes },
                median(last) { it.threads } - median(third) { it.threads },
                median(last) { it.descriptors } - median(third) { it.descriptors },
            )
        }

        private fun median(
            samples: List<SoakSample>,
            value: (SoakSample) -> Double,
        ): Double = samples.map(value).sorted()[samples.size / 2]
    }
}
