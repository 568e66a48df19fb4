package sycamore.bench.policy

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.CategoryChartBuilder
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers
import java.io.File

/** Formats results as text. */
internal object PolicyText {
    /** Header of the lines that [csv] formats. */
    const val HEADER =
        "policy,programs,mean_s,p50_s,p95_s,p99_s,slowdown,first_token_p95_s,between_tokens_p95_s,wasted_tokens," +
            "computed_tokens,billed_bytes,fairness,worst_wait_s,engine_use,refusals,refused_running,missed_deadline,stable"

    /** Formats [result] as one line of comma-separated values. */
    fun csv(result: PolicyResult): String =
        with(result) {
            val numbers = listOf(mean, p50, p95, p99, slowdown, firstTokenP95, betweenTokensP95).map(::decimal)
            val rest = listOf(decimal(fairness), decimal(worstWait), decimal(engineUse), refusals, refusedRunning)
            listOf(name, programs, *numbers.toTypedArray(), wastedTokens, computedTokens, billedBytes)
                .plus(rest)
                .plus(listOf(missedDeadline, isStable))
                .joinToString(",")
        }

    /** Formats [result] as one line of `key=value` figures. */
    fun describe(result: PolicyResult): String =
        HEADER.split(',').zip(csv(result).split(',')).joinToString(" ") { (key, value) -> "$key=$value" }

    /** The last line of a run: the figures of the system's policy divided by those of each baseline. */
    fun ratios(results: List<PolicyResult>): String {
        val (leastLoaded, sticky, sycamore) = PolicyKind.entries.map { kind -> results.first { it.name == kind.text } }
        val figures =
            listOf(
                "mean_vs_least_loaded" to sycamore.mean / leastLoaded.mean,
                "p95_vs_least_loaded" to sycamore.p95 / leastLoaded.p95,
                "waste_vs_least_loaded" to sycamore.wastedTokens.toDouble() / leastLoaded.wastedTokens,
                "mean_vs_sticky" to sycamore.mean / sticky.mean,
                "p95_vs_sticky" to sycamore.p95 / sticky.p95,
                "waste_vs_sticky" to sycamore.wastedTokens.toDouble() / sticky.wastedTokens,
                "bytes_vs_least_loaded" to sycamore.billedBytes.toDouble() / leastLoaded.billedBytes,
            )
        return "policy: " + figures.joinToString(" ") { (name, value) -> "$name=${decimal(value)}" }
    }

    private fun decimal(value: Double): String = "%.3f".format(value)
}

/** Writes the results of a comparison into [directory]. */
internal class PolicyReport(
    private val directory: File,
) {
    /** Writes `policy.csv`, `latency.png` and `waste.png`, titled [title]. */
    fun write(
        results: List<PolicyResult>,
        title: String,
    ) {
        System.setProperty("java.awt.headless", "true")
        directory.mkdirs()
        val lines = listOf(PolicyText.HEADER) + results.map(PolicyText::csv)
        File(directory, "policy.csv").writeText(lines.joinToString("\n", postfix = "\n"))
        saveLatencies(results, title)
        saveWaste(results, title)
    }

    private fun saveLatencies(
        results: List<PolicyResult>,
        title: String,
    ) {
        val chart =
            XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("program latency, s")
                .yAxisTitle("share of programs")
                .build()
        chart.styler.isXAxisLogarithmic = true
        results.forEach { result ->
            val shares = result.latencies.indices.map { (it + 1.0) / result.latencies.size }
            chart.addSeries(result.name, result.latencies, shares).marker = SeriesMarkers.NONE
        }
        save(chart, "latency.png")
    }

    private fun saveWaste(
        results: List<PolicyResult>,
        title: String,
    ) {
        val chart =
            CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .yAxisTitle("millions")
                .build()
        val names = results.map { it.name }
        chart.addSeries("prefill tokens computed again", names, results.map { it.wastedTokens / MILLION })
        chart.addSeries("billed bytes", names, results.map { it.billedBytes / MILLION })
        save(chart, "waste.png")
    }

    private fun save(
        chart: org.knowm.xchart.internal.chartpart.Chart<*, *>,
        name: String,
    ) = BitmapEncoder.saveBitmap(chart, File(directory, name).path, BitmapEncoder.BitmapFormat.PNG)

    private companion object {
        const val WIDTH = 900
        const val HEIGHT = 600
        const val MILLION = 1e6
    }
}
