package sycamore.bench.load

import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.LongAdder
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Counts the calls and programs of one phase and records their latencies, in microseconds. */
internal class Tally {
    private val calls = histogram()
    private val firstTokens = histogram()
    private val programs = histogram()
    private val answerCount = LongAdder()
    private val tokenCount = LongAdder()
    private val failureCounts = ConcurrentHashMap<String, AtomicLong>()

    /** Number of complete answers. */
    val answers: Long get() = answerCount.sum()

    /** Number of content events in all answers. The stand-in engine sends one event for each token. */
    val tokens: Long get() = tokenCount.sum()

    /** Number of failed calls. */
    val errors: Long get() = failureCounts.values.sumOf { it.get() }

    /** Number of failed calls by kind of error. */
    val errorsByKind: Map<String, Long> get() = failureCounts.mapValues { it.value.get() }.toSortedMap()

    /** Latencies of complete answers. */
    val callLatencies: Histogram get() = calls

    /** Times to the first token. */
    val firstTokenLatencies: Histogram get() = firstTokens

    /** Latencies of complete programs. */
    val programLatencies: Histogram get() = programs

    /** Records a complete answer of [tokens] tokens, with its [latency] and the time [toFirstToken]. */
    fun recordAnswer(
        latency: Duration,
        toFirstToken: Duration?,
        tokens: Int,
    ) {
        answerCount.increment()
        tokenCount.add(tokens.toLong())
        calls.recordValue(toMicros(latency))
        toFirstToken?.let { firstTokens.recordValue(toMicros(it)) }
    }

    /** Records a failed call with its [kind] of error. */
    fun recordFailure(kind: String) {
        failureCounts.computeIfAbsent(kind) { AtomicLong() }.incrementAndGet()
    }

    /** Records the latency of a program of which all calls were answered. */
    fun recordProgram(latency: Duration) = programs.recordValue(toMicros(latency))

    /** Adds the counts and latencies of [other]. */
    fun add(other: Tally) {
        calls.add(other.calls)
        firstTokens.add(other.firstTokens)
        programs.add(other.programs)
        answerCount.add(other.answers)
        tokenCount.add(other.tokens)
        other.errorsByKind.forEach { (kind, count) ->
            failureCounts.computeIfAbsent(kind) { AtomicLong() }.addAndGet(count)
        }
    }

    private fun histogram() = ConcurrentHistogram(LOWEST_MICROS, HIGHEST_MICROS, SIGNIFICANT_DIGITS)

    private fun toMicros(time: Duration): Long = time.inWholeMicroseconds.coerceIn(LOWEST_MICROS, HIGHEST_MICROS)

    private companion object {
        const val LOWEST_MICROS = 1L
        const val HIGHEST_MICROS = 120_000_000L
        const val SIGNIFICANT_DIGITS = 3
    }
}

/** The value at [percentile] of this histogram of microseconds, in milliseconds; zero if the histogram is empty. */
internal fun Histogram.millisAt(percentile: Double): Double =
    if (totalCount == 0L) 0.0 else getValueAtPercentile(percentile) / MICROS_PER_MILLI

/** This duration in milliseconds. */
internal val Duration.millis: Double get() = toDouble(DurationUnit.MILLISECONDS)

private const val MICROS_PER_MILLI = 1000.0
