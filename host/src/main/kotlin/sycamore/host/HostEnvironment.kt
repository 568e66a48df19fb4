package sycamore.host

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import sycamore.daemon.ClockTime
import sycamore.daemon.InForce
import sycamore.daemon.Members
import sycamore.links.Exchange
import sycamore.model.Host
import sycamore.services.KeyValue
import kotlin.time.Clock
import kotlin.time.TimeSource

/** The services, settings and clocks that a [HostDaemon] uses. */
class HostEnvironment private constructor(
    val self: Host,
    val inForce: InForce,
    val members: Members,
    val exchange: Exchange,
    val keys: KeyValue,
    val engine: CallUpstream,
    val service: CallUpstream,
    val clock: Clock,
    val time: TimeSource.WithComparableMarks,
    val evictCache: EvictCache,
    val retainers: Int,
    val metrics: MeterRegistry,
    val reports: EngineReports,
) {
    /** Builds a [HostEnvironment]. Properties without a default have to be set. */
    class Builder internal constructor(
        private val self: Host,
    ) {
        /** The configuration in force. */
        var inForce: InForce = InForce()

        /** The hosts of the system that are known at present. */
        var members: Members = Members()

        /** Sends messages to other daemons. */
        lateinit var exchange: Exchange

        /** The platform's key-value service. */
        lateinit var keys: KeyValue

        /** Calls a model engine. */
        lateinit var engine: CallUpstream

        /** Calls a service that is not a model engine. */
        lateinit var service: CallUpstream

        /** The wall clock. */
        var clock: Clock = Clock.System

        /** The source of time measurements. By default it is derived from [clock]. */
        var time: TimeSource.WithComparableMarks? = null

        /** Requests an engine to evict the cache of a program. By default no eviction is acknowledged. */
        var evictCache: EvictCache = { _, _ -> false }

        /**
         * The number of hosts that retain records until they are committed. With none, every answer waits until
         * its records are committed.
         */
        var retainers: Int = RecordRetention.RETAINER_COUNT

        /** The registry of the daemon's meters. */
        var metrics: MeterRegistry = SimpleMeterRegistry()

        /** Queries engines for their state. By default no engine can be queried. */
        var reports: EngineReports = EngineReports()

        private fun time() = time ?: ClockTime.timeSourceOf(clock)

        internal fun build() =
            HostEnvironment(
                self,
                inForce,
                members,
                exchange,
                keys,
                engine,
                service,
                clock,
                time(),
                evictCache,
                retainers,
                metrics,
                reports,
            )
    }
}

/** Creates the daemon of host [self] in the environment that [build] configures. */
fun hostDaemon(
    self: Host,
    build: HostEnvironment.Builder.() -> Unit,
): HostDaemon = HostDaemon(HostEnvironment.Builder(self).apply(build).build())
