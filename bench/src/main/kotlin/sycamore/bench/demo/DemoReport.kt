package sycamore.bench.demo

import sycamore.bench.fleet.ProcessUsage
import sycamore.bench.fleet.Role
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** The tables that the demo prints at its end. */
internal object DemoReport {
    private const val MEBIBYTE = 1L shl 20
    private const val PERCENT = 100

    /** A table with one line for each program. */
    fun programs(reports: List<ProgramReport>): String {
        val head =
            listOf("program", "id", "turns", "tokens", "cached", "latency", "tools", "spent", "budget")
        val rows =
            reports.map { report ->
                listOf(
                    report.name,
                    "${report.program}",
                    "${report.turns}",
                    "${report.tokens.total}",
                    "${(report.tokens.cachedShare * PERCENT).toInt()}%",
                    seconds(report.elapsed),
                    seconds(report.pauses),
                    "${report.spent}",
                    "${report.budget}",
                )
            }
        return table(listOf(head) + rows)
    }

    /** A table with one line for each running process of [deployments]. */
    fun memory(deployments: List<Deployment>): String {
        val head = listOf("daemon", "role", "resident", "threads", "processor")
        val rows =
            deployments.flatMap { deployment ->
                ProcessUsage.read(deployment.layout).map { usage ->
                    listOf(
                        "${deployment.name}/${usage.process.name}",
                        usage.process.role.text,
                        "${usage.residentBytes / MEBIBYTE} MiB",
                        "${usage.threads}",
                        seconds(usage.cpu),
                    )
                }
            }
        return table(listOf(head) + rows)
    }

    /** The resident memory of the largest daemon, in MiB. */
    fun largestDaemon(deployments: List<Deployment>): Long =
        deployments
            .flatMap { ProcessUsage.read(it.layout) }
            .filter { it.process.role != Role.STANDINS }
            .maxOfOrNull { it.residentBytes / MEBIBYTE } ?: 0

    private fun seconds(time: Duration) = "%.2f s".format(Locale.ROOT, time.toDouble(DurationUnit.SECONDS))

    private fun table(rows: List<List<String>>): String {
        val widths = rows.first().indices.map { column -> rows.maxOf { it[column].length } }
        return rows.joinToString("\n") { row ->
            row.mapIndexed { column, text -> text.padEnd(widths[column]) }.joinToString("  ").trimEnd()
        }
    }
}
