package sycamore.daemon

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.core.instrument.binder.system.UptimeMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import sycamore.daemon.log.RateLimitedAppender
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.toJavaDuration

/** The meters of a daemon, exposed in the text format of Prometheus. */
class Metrics {
    private val prometheus = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** The registry to which meters are added. */
    val registry: MeterRegistry get() = prometheus

    private val processMeters by lazy(::bindProcess)

    /** Registers a gauge of the generation of the configuration in force. */
    fun bindConfiguration(inForce: InForce) {
        prometheus.gauge(GENERATION_METER, inForce) { it.generation.value.toDouble() }
    }

    /** Registers the meters of the JVM and the counter of omitted log lines. */
    private fun bindProcess() {
        bindOmittedLines("ordinary") { RateLimitedAppender.omittedLines }
        bindOmittedLines("exceptional") { RateLimitedAppender.omittedExceptionalLines }
        JvmMemoryMetrics().bindTo(prometheus)
        JvmThreadMetrics().bindTo(prometheus)
        ProcessorMetrics().bindTo(prometheus)
        UptimeMetrics().bindTo(prometheus)
        JvmGcMetrics().bindTo(prometheus)
    }

    private fun bindOmittedLines(
        kind: String,
        count: () -> Long,
    ) {
        FunctionCounter
            .builder(OMITTED_LINES_METER, this) { count().toDouble() }
            .tag("kind", kind)
            .register(prometheus)
    }

    /** Registers a gauge of the time at which the certificate of [tls] expires, in seconds since 1970. */
    fun bindTls(tls: Tls) {
        prometheus.gauge(CERTIFICATE_EXPIRY_METER, tls) { it.expiry.epochSeconds.toDouble() }
    }

    /**
     * Returns all meters as text. The first call registers those of the JVM, which takes a twelfth as long as a start
     * of the daemon.
     */
    fun scrape(): String {
        processMeters
        return prometheus.scrape()
    }

    private companion object {
        const val GENERATION_METER = "sycamore.generation"
        const val CERTIFICATE_EXPIRY_METER = "sycamore.tls.certificate.expiry.seconds"
        const val OMITTED_LINES_METER = "sycamore.log.lines.omitted"
    }
}

/** Records [time] in the histogram [name]. The [tags] are alternating names and values. */
fun MeterRegistry.recordLatency(
    name: String,
    time: Duration,
    vararg tags: String,
) = Timer
    .builder(name)
    .tags(*tags)
    .serviceLevelObjectives(*LATENCY_BOUNDS)
    .register(this)
    .record(time.toJavaDuration())

/** Registers a gauge of the [age] of what a watch of [watched] knows; it has no value while the age is null. */
fun MeterRegistry.bindWatchAge(
    watched: String,
    age: () -> Duration?,
) {
    Gauge
        .builder("sycamore.watch.age.seconds") { age()?.toDouble(DurationUnit.SECONDS) ?: Double.NaN }
        .tag("watched", watched)
        .register(this)
}

/** Upper bounds of the histogram buckets: from a call within a data centre up to the longest turn. */
private val LATENCY_BOUNDS =
    listOf(
        5.milliseconds,
        10.milliseconds,
        25.milliseconds,
        50.milliseconds,
        100.milliseconds,
        250.milliseconds,
        500.milliseconds,
        850.milliseconds,
        2.seconds,
        5.seconds,
        10.seconds,
        30.seconds,
        60.seconds,
    ).map { it.toJavaDuration() }.toTypedArray()
