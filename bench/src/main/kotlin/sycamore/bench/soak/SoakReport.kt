package sycamore.bench.soak

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers
import sycamore.bench.load.millisAt
import java.io.File
import java.util.Locale
import kotlin.time.DurationUnit

/** Writes the report of a soak run to a directory, as the files `soak.md`, `soak.csv` and `resident.png`. */
internal class SoakReport(
    private val directory: File,
) {
    /** Writes all files for [result]. */
    fun write(result: SoakResult) {
        directory.mkdirs()
        val rows = result.samples.joinToString("\n") { it.toCsvRow() }
        File(directory, "soak.csv").writeText("${SoakSample.HEADER}\n$rows\n")
        File(directory, "soak.md").writeText(markdown(result))
        plot(result)
    }

    private fun markdown(result: SoakResult): String =
        buildString {
            appendLine("# Soak run\n\n`${summary(result)}`\n")
            appendLine("Growth of each process that ran throughout, last quarter minus third quarter:\n")
            result.growth.forEach { appendLine("- $it") }
            appendLine("\nErrors by kind:\n")
            if (result.tally.errors == 0L) appendLine("None.")
            result.tally.errorsByKind.forEach { (kind, count) -> appendLine("- $count x $kind") }
            appendLine("\n![Resident memory](resident.png)")
        }

    private fun plot(result: SoakResult) {
        val chart =
            XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("Resident memory")
                .xAxisTitle("seconds")
                .yAxisTitle("MB")
                .build()
        result.samples.groupBy { "${it.process} ${it.pid}" }.forEach { (name, run) ->
            val seconds = run.map { it.at.toDouble(DurationUnit.SECONDS) }
            chart.addSeries(name, seconds, run.map { it.residentMegabytes }).marker = SeriesMarkers.NONE
        }
        BitmapEncoder.saveBitmap(chart, File(directory, "resident.png").path, BitmapEncoder.BitmapFormat.PNG)
    }

    companion object {
        private const val WIDTH = 900
        private const val HEIGHT = 500
        private const val MEDIAN = 50.0
        private const val P99 = 99.0

        /** The last line that a run prints, in a format for scripts. */
        fun summary(result: SoakResult): String =
            String.format(
                Locale.ROOT,
                "soak: answers=%d errors=%d p50_ms=%.1f p99_ms=%.1f resident_growth_mb=%.1f " +
                    "threads_growth=%.0f descriptors_growth=%.0f",
                result.tally.answers,
                result.tally.errors,
                result.tally.callLatencies.millisAt(MEDIAN),
                result.tally.callLatencies.millisAt(P99),
                result.growth.maxOfOrNull { it.residentMegabytes } ?: Double.NaN,
                result.growth.maxOfOrNull { it.threads } ?: Double.NaN,
                result.growth.maxOfOrNull { it.descriptors } ?: Double.NaN,
            )
    }
}
