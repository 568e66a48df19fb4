package sycamore.daemon

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.core.instrument.binder.system.UptimeMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import sycamore.daemon.log.LineBudget
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** The metrics of a daemon, in the text format of Prometheus. */
class Metrics {
    private val prometheus = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** Where meters are registered. */
    val registry: MeterRegistry get() = prometheus

    private val runtime by lazy(::bindRuntime)

    /** Adds the meter of the configuration in force. */
    fun bindConfiguration(inForce: InForce) {
        prometheus.gauge(GENERATION, inForce) { it.generation.value.toDouble() }
    }

    /** Adds the meters of the JVM and the count of log lines that were left out. */
    private fun bindRuntime() {
        FunctionCounter.builder(OMITTED, this) { LineBudget.omittedLines.toDouble() }.register(prometheus)
        JvmMemoryMetrics().bindTo(prometheus)
        JvmThreadMetrics().bindTo(prometheus)
        ProcessorMetrics().bindTo(prometheus)
        UptimeMetrics().bindTo(prometheus)
        JvmGcMetrics().bindTo(prometheus)
    }

    /** Adds the time at which the certificate of [tls] expires, in seconds since 1970. */
    fun bindTls(tls: Tls) {
        prometheus.gauge(EXPIRY, tls) { it.expiry.epochSeconds.toDouble() }
    }

    /** All meters as text. Those of the JVM begin with the first call, since they cost a twelfth of a start. */
    fun scrape(): String {
        runtime
        return prometheus.scrape()
    }

    private companion object {
        const val GENERATION = "sycamore.generation"
        const val EXPIRY = "sycamore.tls.certificate.expiry.seconds"
        const val OMITTED = "sycamore.log.lines.omitted"
    }
}

/** Records [time] in the histogram [name] with [tags], which are names and values in turn. */
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

/** Upper bounds of the buckets: from a call within a data centre up to the longest turn. */
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
