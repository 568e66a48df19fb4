package sycamore.bench.load

import sycamore.bench.fleet.Role
import java.util.Locale

/** Formats the measurements of a load run as text. */
internal object LoadText {
    private const val MEDIAN = 50.0
    private const val P95 = 95.0
    private const val P99 = 99.0

    /** Formats the measurements of [phase] as one line, printed as progress. */
    fun progressLine(phase: PhaseResult): String =
        text(
            "%-9s %-6s %8.0f calls/s  p50 %7.2f ms  p99 %7.2f ms  first token p95 %7.2f ms  errors %d",
            phase.name,
            phase.side.text,
            phase.rate,
            phase.tally.callLatencies.millisAt(MEDIAN),
            phase.tally.callLatencies.millisAt(P99),
            phase.tally.firstTokenLatencies.millisAt(P95),
            phase.tally.errors,
        )

    /** The last line of the output, which scripts parse. */
    fun summary(result: LoadResult): String =
        text(
            "load: throughput_ratio=%.3f added_p50_ms=%.2f added_p99_ms=%.2f first_token_p95_ms=%.1f errors=%d",
            result.throughputRatio,
            result.addedLatencyMillis(MEDIAN),
            result.addedLatencyMillis(P99),
            result.systemNearPeak.tally.firstTokenLatencies
                .millisAt(P95),
            result.errors,
        )

    /** The measurements as comma-separated values: a header and one line for each phase. */
    fun csv(result: LoadResult): String =
        buildString {
            append("phase,side,offered_calls_per_s,calls_per_s,p50_ms,p95_ms,p99_ms,first_token_p95_ms,")
            appendLine("program_p50_ms,program_p99_ms,errors," + Role.entries.joinToString(",") { "${it.text}_cores" })
            result.phases.forEach { appendLine(row(it)) }
        }

    private fun row(phase: PhaseResult): String {
        val times = phase.tally.callLatencies
        val programs = phase.tally.programLatencies
        val numbers =
            listOf(phase.offered ?: 0.0, phase.rate, times.millisAt(MEDIAN), times.millisAt(P95), times.millisAt(P99)) +
                listOf(phase.tally.firstTokenLatencies.millisAt(P95), programs.millisAt(MEDIAN), programs.millisAt(P99))
        val cores = Role.entries.map { phase.cores[it] ?: 0.0 }
        return (
            listOf(phase.name, phase.side.text) + numbers.map(::decimal) + phase.tally.errors + cores.map(::decimal)
        ).joinToString(",")
    }

    /** Formats [value] with three decimals. */
    fun decimal(value: Double): String = text("%.3f", value)

    private fun text(
        format: String,
        vararg values: Any,
    ): String = String.format(Locale.ROOT, format, *values)
}
