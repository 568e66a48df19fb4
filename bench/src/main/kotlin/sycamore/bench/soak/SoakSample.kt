package sycamore.bench.soak

import sycamore.bench.fleet.ProcessUsage
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** What one process used at one moment of a soak run. */
internal data class SoakSample(
    val at: Duration,
    val process: String,
    val pid: Long,
    val residentMegabytes: Double,
    val threads: Double,
    val descriptors: Double,
) {
    /** One line of the report's CSV. */
    fun row(): String =
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
        /** The CSV's first line. */
        const val HEADER = "seconds,process,pid,resident_mb,threads,descriptors"

        private const val BYTES_PER_MEGABYTE = 1e6

        /** The sample of [usage] at [at]. */
        fun of(
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
