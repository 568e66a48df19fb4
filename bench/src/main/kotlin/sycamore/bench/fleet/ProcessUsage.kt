package sycamore.bench.fleet

import java.io.File
import kotlin.time.Duration
import kotlin.time.toKotlinDuration

/**
 * What one process has used so far.
 *
 * @property cpu processor time since its start.
 * @property residentBytes resident memory at this moment.
 * @property transferredBytes bytes read and written since its start, to sockets and files together.
 */
data class ProcessUsage(
    val process: FleetProcess,
    val pid: Long,
    val cpu: Duration,
    val residentBytes: Long,
    val threads: Int,
    val descriptors: Int,
    val transferredBytes: Long,
) {
    companion object {
        private const val KIBIBYTE = 1024L

        /** The usage of each process of [layout] that is up. */
        fun of(layout: FleetLayout): List<ProcessUsage> = layout.processes.mapNotNull { of(layout, it) }

        private fun of(
            layout: FleetLayout,
            process: FleetProcess,
        ): ProcessUsage? {
            val pid = layout.pidOf(process) ?: return null
            val handle = ProcessHandle.of(pid).orElse(null)?.takeIf { it.isAlive } ?: return null
            val cpu = handle.info().totalCpuDuration().orElse(null) ?: return null
            val status = numbersIn(File("/proc/$pid/status")) ?: return null
            val transfers = numbersIn(File("/proc/$pid/io")).orEmpty()
            return ProcessUsage(
                process = process,
                pid = pid,
                cpu = cpu.toKotlinDuration(),
                residentBytes = (status["VmRSS"] ?: 0) * KIBIBYTE,
                threads = (status["Threads"] ?: 0).toInt(),
                descriptors = File("/proc/$pid/fd").list()?.size ?: 0,
                transferredBytes = (transfers["rchar"] ?: 0) + (transfers["wchar"] ?: 0),
            )
        }

        private fun numbersIn(file: File): Map<String, Long>? {
            if (!file.canRead()) return null
            return runCatching { file.readLines() }.getOrNull()?.mapNotNull(::field)?.toMap()
        }

        private fun field(line: String): Pair<String, Long>? {
            val number =
                line
                    .substringAfter(':')
                    .trim()
                    .substringBefore(' ')
                    .toLongOrNull() ?: return null
            return line.substringBefore(':') to number
        }
    }
}

/** Processor time of each role between [before] and [after], in cores over [elapsed]. */
fun coresByRole(
    before: List<ProcessUsage>,
    after: List<ProcessUsage>,
    elapsed: Duration,
): Map<Role, Double> {
    val earlier = before.associate { it.pid to it.cpu }
    return after
        .groupBy { it.process.role }
        .mapValues { (_, usages) -> usages.sumOf { (it.cpu - (earlier[it.pid] ?: Duration.ZERO)) / elapsed } }
}
