package sycamore.bench.load

import org.HdrHistogram.Histogram
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers
import sycamore.bench.fleet.Role
import java.io.File

/** Writes the report of a load run into [directory]: `load.md`, `load.csv` and the plot that `load.md` shows. */
internal class LoadReport(
    private val directory: File,
) {
    /** Writes all files for [result]. */
    fun write(result: LoadResult) {
        directory.mkdirs()
        File(directory, "load.csv").writeText(LoadText.csv(result))
        File(directory, "load.md").writeText(markdown(result))
        save(latencyChart(result), "latency.png")
    }

    private fun markdown(result: LoadResult): String =
        buildString {
            appendLine("# Load run\n")
            appendLine("`${LoadText.summary(result)}`\n")
            appendLine("Machine load at the end: ${LoadText.decimal(result.loadAverage)}.")
            appendLine("Throughput ratio of each round: ${result.roundRatios.joinToString { LoadText.decimal(it) }}.\n")
            appendTable(LoadText.csv(result))
            appendLine("\n## Cost\n")
            Role.entries.forEach { appendCost(it, result) }
            appendErrors(result)
            appendLine("\n![Latency of whole answers at half load](latency.png)")
        }

    private fun StringBuilder.appendTable(csv: String) {
        val rows = csv.trim().lines().map { it.split(',') }
        appendLine(rows.first().joinToString(" | ", "| ", " |"))
        appendLine(rows.first().joinToString("|", "|", "|") { "---" })
        rows.drop(1).forEach { appendLine(it.joinToString(" | ", "| ", " |")) }
    }

    private fun StringBuilder.appendCost(
        role: Role,
        result: LoadResult,
    ) {
        val resident = result.residentMegabytes[role] ?: return
        val calls = result.systemPeak.callsPerCore(role)?.let(LoadText::decimal) ?: "none"
        appendLine("- ${role.text}: $calls calls per second and core; ${LoadText.decimal(resident)} MB resident")
    }

    private fun StringBuilder.appendErrors(result: LoadResult) {
        appendLine("\n## Errors\n")
        val kinds = result.phases.flatMap { phase -> phase.tally.errorsByKind.map { Triple(phase, it.key, it.value) } }
        if (kinds.isEmpty()) appendLine("None.")
        kinds.forEach { (phase, kind, count) -> appendLine("- ${phase.name}, ${phase.side.text}: $count x $kind") }
    }

    private fun latencyChart(result: LoadResult): XYChart {
        val chart =
            XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("Whole answers at half load")
                .xAxisTitle("percentile")
                .yAxisTitle("latency in ms")
                .build()
        listOf(result.directHalf, result.systemHalf).forEach { phase ->
            val series = chart.addSeries(phase.side.text, percentiles, latencies(phase.tally.callLatencies))
            series.marker = SeriesMarkers.NONE
        }
        return chart
    }

    private fun latencies(times: Histogram): DoubleArray =
        DoubleArray(percentiles.size) { times.millisAt(percentiles[it]) }

    private fun save(
        chart: XYChart,
        name: String,
    ) = BitmapEncoder.saveBitmap(chart, File(directory, name).path, BitmapEncoder.BitmapFormat.PNG)

    private companion object {
        const val WIDTH = 800
        const val HEIGHT = 500
        val percentiles = DoubleArray(100) { it.toDouble() }
    }
}
