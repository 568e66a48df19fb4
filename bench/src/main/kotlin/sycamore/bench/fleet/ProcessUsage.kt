package sycamore.bench.fleet

import java.io.File
import kotlin.time.Duration
import kotlin.time.toKotlinDuration

/**
 * The resource usage of one process, from `/proc` and the process handle.
 *
 * @property cpu the processor time since the start of the process.
 * @property residentBytes the present resident memory.
 * @property descriptors the number of open file descriptors.
 * @property transferredBytes the bytes read and written since the start of the process, on sockets and files together.
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

        /** Reads the usage of each running process of [layout]. */
        fun read(layout: FleetLayout): List<ProcessUsage> = layout.processes.mapNotNull { read(layout, it) }

        private fun read(
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

/** The average number of cores that each role used between [before] and [after], which are [elapsed] apart. */
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
