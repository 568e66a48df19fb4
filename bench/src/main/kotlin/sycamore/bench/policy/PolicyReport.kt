package sycamore.bench.policy

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.CategoryChartBuilder
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers
import java.io.File

/** Results as text. */
internal object PolicyText {
    /** Header of the lines that [csv] gives. */
    const val HEADER =
        "policy,programs,mean_s,p50_s,p95_s,p99_s,slowdown,first_token_p95_s,between_tokens_p95_s,wasted_tokens," +
            "computed_tokens,billed_bytes,fairness,worst_wait_s,engine_use,refusals,refused_running,missed_deadline,stable"

    /** One line of comma-separated values. */
    fun csv(result: ArmResult): String =
        with(result) {
            val numbers = listOf(mean, p50, p95, p99, slowdown, firstTokenP95, betweenTokensP95).map(::decimal)
            val rest = listOf(decimal(fairness), decimal(worstWait), decimal(busy), refusals, refusedRunning)
            listOf(name, programs, *numbers.toTypedArray(), wastedTokens, computedTokens, billedBytes)
                .plus(rest)
                .plus(listOf(missedDeadline, isStable))
                .joinToString(",")
        }

    /** One line for people. */
    fun describe(result: ArmResult): String =
        HEADER.split(',').zip(csv(result).split(',')).joinToString(" ") { (key, value) -> "$key=$value" }

    /** The last line of a run: the system's figures as shares of the baselines'. */
    fun ratios(results: List<ArmResult>): String {
        val (least, sticky, own) = ArmKind.entries.map { kind -> results.first { it.name == kind.text } }
        val pairs =
            listOf(
                "mean_vs_least_loaded" to own.mean / least.mean,
                "p95_vs_least_loaded" to own.p95 / least.p95,
                "waste_vs_least_loaded" to own.wastedTokens.toDouble() / least.wastedTokens,
                "mean_vs_sticky" to own.mean / sticky.mean,
                "p95_vs_sticky" to own.p95 / sticky.p95,
                "waste_vs_sticky" to own.wastedTokens.toDouble() / sticky.wastedTokens,
                "bytes_vs_least_loaded" to own.billedBytes.toDouble() / least.billedBytes,
            )
        return "policy: " + pairs.joinToString(" ") { (name, value) -> "$name=${decimal(value)}" }
    }

    private fun decimal(value: Double): String = "%.3f".format(value)
}

/** Writes the results of a comparison into [directory]. */
internal class PolicyReport(
    private val directory: File,
) {
    /** Writes `policy.csv`, `latency.png` and `waste.png`, titled [title]. */
    fun write(
        results: List<ArmResult>,
        title: String,
    ) {
        System.setProperty("java.awt.headless", "true")
        directory.mkdirs()
        val lines = listOf(PolicyText.HEADER) + results.map(PolicyText::csv)
        File(directory, "policy.csv").writeText(lines.joinToString("\n", postfix = "\n"))
        latency(results, title)
        waste(results, title)
    }

    private fun latency(
        results: List<ArmResult>,
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

    private fun waste(
        results: List<ArmResult>,
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
