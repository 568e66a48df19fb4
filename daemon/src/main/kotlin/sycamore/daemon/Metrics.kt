package sycamore.daemon

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.core.instrument.binder.system.UptimeMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

/** The metrics of a daemon, in the text format of Prometheus. */
class Metrics {
    private val prometheus = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** Where meters are registered. */
    val registry: MeterRegistry get() = prometheus

    /** Adds the meters that every daemon has: those of the JVM, and of the configuration in force. */
    fun bindProcess(inForce: InForce) {
        JvmMemoryMetrics().bindTo(prometheus)
        JvmThreadMetrics().bindTo(prometheus)
        ProcessorMetrics().bindTo(prometheus)
        UptimeMetrics().bindTo(prometheus)
        JvmGcMetrics().bindTo(prometheus)
        prometheus.gauge(GENERATION, inForce) { it.generation.value.toDouble() }
    }

    /** Adds the time at which the certificate of [tls] expires, in seconds since 1970. */
    fun bindTls(tls: Tls) {
        prometheus.gauge(EXPIRY, tls) { it.expiry.epochSeconds.toDouble() }
    }

    /** All meters as text. */
    fun scrape(): String = prometheus.scrape()

    private companion object {
        const val GENERATION = "sycamore.generation"
        const val EXPIRY = "sycamore.tls.certificate.expiry.seconds"
    }
}
