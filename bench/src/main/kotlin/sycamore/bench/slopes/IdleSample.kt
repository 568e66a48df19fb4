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
 * What one idle daemon used on average in a fleet of [members] daemons.
 *
 * @property coreShare processor time, as a share of a core.
 * @property bytesPerSecond bytes read and written, to sockets and files together.
 */
internal data class IdleSample(
    val members: Int,
    val coreShare: Double,
    val bytesPerSecond: Double,
    val residentMegabytes: Double,
    val threads: Double,
) {
    /** One line of a file of samples. */
    fun line(): String = listOf(members, coreShare, bytesPerSecond, residentMegabytes, threads).joinToString(",")

    companion object {
        private const val BYTES_PER_MEGABYTE = 1e6

        /** Reads the lines that [line] wrote. */
        fun read(file: File): List<IdleSample> = file.readLines().filter { it.isNotBlank() }.map(::parse)

        private fun parse(line: String): IdleSample {
            val fields = line.split(',').map { it.toDouble() }
            return IdleSample(fields[0].toInt(), fields[1], fields[2], fields[3], fields[4])
        }

        /** Watches the daemons of [layout] for [time] while nothing calls them. */
        suspend fun take(
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
