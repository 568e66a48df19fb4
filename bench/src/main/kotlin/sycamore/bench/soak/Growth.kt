package sycamore.bench.soak

/**
 * The growth of one process in the second half of a run, when its resource usage should be constant.
 *
 * Each figure is the median of the last quarter of the run minus the median of the third quarter.
 */
internal data class Growth(
    val process: String,
    val residentMegabytes: Double,
    val threads: Double,
    val descriptors: Double,
) {
    companion object {
        private const val QUARTERS = 4

        /** The minimum number of samples of a process for which growth is computed. */
        const val MIN_SAMPLES = 8

        /** The growth of each process that ran, without a restart, from the first of [samples] to the last. */
        fun ofProcesses(samples: List<SoakSample>): List<Growth> {
            val end = samples.maxOfOrNull { it.at } ?: return emptyList()
            val start = samples.minOf { it.at }
            return samples
                .groupBy { it.process to it.pid }
                .filterValues { run -> run.size >= MIN_SAMPLES && run.first().at == start && run.last().at == end }
                .map { (key, run) -> growthOf(key.first, run) }
        }

        private fun growthOf(
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
