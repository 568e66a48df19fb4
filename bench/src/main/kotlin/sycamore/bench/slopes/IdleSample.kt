package sycamore.bench.slopes

import kotlinx.coroutines.delay
import sycamore.bench.fleet.FleetLayout
import sycamore.bench.fleet.ProcessUsage
import sycamore.bench.fleet.Role
import java.io.File
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * The average resource usage of an idle daemon in a fleet of [members] daemons.
 *
 * @property coreShare the processor time as a share of one core.
 * @property bytesPerSecond the bytes read and written per second, on sockets and files together.
 */
internal data class IdleSample(
    val members: Int,
    val coreShare: Double,
    val bytesPerSecond: Double,
    val residentMegabytes: Double,
    val threads: Double,
) {
    /** Formats the sample as a line of a samples file. */
    fun toCsvLine(): String = listOf(members, coreShare, bytesPerSecond, residentMegabytes, threads).joinToString(",")

    companion object {
        private const val BYTES_PER_MEGABYTE = 1e6

        /** Reads a file of lines that [toCsvLine] formatted. */
        fun readCsv(file: File): List<IdleSample> = file.readLines().filter { it.isNotBlank() }.map(::parse)

        private fun parse(line: String): IdleSample {
            val fields = line.split(',').map { it.toDouble() }
            return IdleSample(fields[0].toInt(), fields[1], fields[2], fields[3], fields[4])
        }

        /** Measures the daemons of [layout] for [time], during which nothing must call them. */
        suspend fun measure(
            layout: FleetLayout,
            time: Duration,
        ): IdleSample {
            val before = daemons(layout).associateBy { it.pid }
            val start = TimeSource.Monotonic.markNow()
            delay(time)
            val seconds = start.elapsedNow().toDouble(DurationUnit.SECONDS)
            val after = daemons(layout).filter { it.pid in before }
            val cpu = after.map { (it.cpu - before.getValue(it.pid).cpu).toDouble(DurationUnit.SECONDS) / seconds }
            val bytes = after.map { (it.transferredBytes - before.getValue(it.pid).transferredBytes) / seconds }
            return IdleSample(
                layout.processes.count { it.role != Role.STANDINS },
                cpu.average(),
                bytes.average(),
                after.map { it.residentBytes / BYTES_PER_MEGABYTE }.average(),
                after.map { it.threads.toDouble() }.average(),
            )
        }

        private fun daemons(layout: FleetLayout) = ProcessUsage.read(layout).filter { it.process.role != Role.STANDINS }
    }
}
