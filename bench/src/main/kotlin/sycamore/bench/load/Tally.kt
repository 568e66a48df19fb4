package sycamore.bench.load

import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.LongAdder
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** What the calls and programs of one phase did. Times are kept in microseconds. */
internal class Tally {
    private val calls = histogram()
    private val firstTokens = histogram()
    private val programs = histogram()
    private val answered = LongAdder()
    private val parts = LongAdder()
    private val failures = ConcurrentHashMap<String, AtomicLong>()

    /** Calls answered whole. */
    val answers: Long get() = answered.sum()

    /** Content events of all answers, of which the stand-in engine sends one for each token. */
    val tokens: Long get() = parts.sum()

    /** Calls that failed. */
    val errors: Long get() = failures.values.sumOf { it.get() }

    /** Calls that failed, by kind of error. */
    val errorsByKind: Map<String, Long> get() = failures.mapValues { it.value.get() }.toSortedMap()

    /** Latency of whole answers. */
    val callTimes: Histogram get() = calls

    /** Time to the first token. */
    val firstTokenTimes: Histogram get() = firstTokens

    /** Latency of whole programs. */
    val programTimes: Histogram get() = programs

    /** Counts a whole answer of [tokens] that took [latency], and [firstToken] to its first token. */
    fun answered(
        latency: Duration,
        firstToken: Duration?,
        tokens: Int,
    ) {
        answered.increment()
        parts.add(tokens.toLong())
        calls.recordValue(micros(latency))
        firstToken?.let { firstTokens.recordValue(micros(it)) }
    }

    /** Counts a call that failed as [kind]. */
    fun failed(kind: String) {
        failures.computeIfAbsent(kind) { AtomicLong() }.incrementAndGet()
    }

    /** Counts a program all of whose calls were answered. */
    fun completed(latency: Duration) = programs.recordValue(micros(latency))

    /** Adds what [other] counted. */
    fun add(other: Tally) {
        calls.add(other.calls)
        firstTokens.add(other.firstTokens)
        programs.add(other.programs)
        answered.add(other.answers)
        parts.add(other.tokens)
        other.errorsByKind.forEach { (kind, count) ->
            failures.computeIfAbsent(kind) { AtomicLong() }.addAndGet(count)
        }
    }

    private fun histogram() = ConcurrentHistogram(LOWEST_MICROS, HIGHEST_MICROS, DIGITS)

    private fun micros(time: Duration): Long = time.inWholeMicroseconds.coerceIn(LOWEST_MICROS, HIGHEST_MICROS)

    private companion object {
        const val LOWEST_MICROS = 1L
        const val HIGHEST_MICROS = 120_000_000L
        const val DIGITS = 3
    }
}

/** The value at [percentile] of a histogram in microseconds, in milliseconds; zero when it is empty. */
internal fun Histogram.millisAt(percentile: Double): Double =
    if (totalCount == 0L) 0.0 else getValueAtPercentile(percentile) / MICROS_PER_MILLI

/** This duration in milliseconds. */
internal val Duration.millis: Double get() = toDouble(DurationUnit.MILLISECONDS)

private const val MICROS_PER_MILLI = 1000.0
