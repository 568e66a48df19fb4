package sycamore.bench.soak

import sycamore.bench.fleet.ProcessUsage
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * A sample of the resource usage of one process during a soak run.
 *
 * @property at the time since the start of the run.
 */
internal data class SoakSample(
    val at: Duration,
    val process: String,
    val pid: Long,
    val residentMegabytes: Double,
    val threads: Double,
    val descriptors: Double,
) {
    /** The sample as one line of the report's CSV file. */
    fun toCsvRow(): String =
        String.format(
            Locale.ROOT,
            "%.0f,%s,%d,%.1f,%.0f,%.0f",
            at.toDouble(DurationUnit.SECONDS),
            process,
            pid,
            residentMegabytes,
            threads,
            descriptors,
        )

    companion object {
        /** The header line of the CSV file. */
        const val HEADER = "seconds,process,pid,resident_mb,threads,descriptors"

        private const val BYTES_PER_MEGABYTE = 1e6

        /** Creates the sample of [usage] taken at [at]. */
        fun fromUsage(
            usage: ProcessUsage,
            at: Duration,
        ) = SoakSample(
            at,
            usage.process.name,
            usage.pid,
            usage.residentBytes / BYTES_PER_MEGABYTE,
            usage.threads.toDouble(),
            usage.descriptors.toDouble(),
        )
    }
}
