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

/** All that a [HostDaemon] meets outside itself. */
class HostWorld private constructor(
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
    /** Collects the parts of a [HostWorld]; those without a default have to be set. */
    class Builder internal constructor(
        private val self: Host,
    ) {
        /** The configuration in force. */
        var inForce: InForce = InForce()

        /** The hosts that are known. */
        var members: Members = Members()

        /** Sends messages to other daemons. */
        lateinit var exchange: Exchange

        /** The platform's key-value service. */
        lateinit var keys: KeyValue

        /** Calls a model engine. */
        lateinit var engine: CallUpstream

        /** Calls a plain service. */
        lateinit var service: CallUpstream

        /** Tells the time of day. */
        var clock: Clock = Clock.System

        /** Measures time; by default it goes with [clock]. */
        var time: TimeSource.WithComparableMarks? = null

        /** Has an engine evict the cache of a program. By default nothing is acknowledged. */
        var evictCache: EvictCache = { _, _ -> false }

        /** Hosts that keep records until they are committed; with none, every answer waits for its commit. */
        var retainers: Int = Retention.NAMED

        /** Where the daemon registers its meters. */
        var metrics: MeterRegistry = SimpleMeterRegistry()

        /** What engines tell about themselves. By default they cannot be asked. */
        var reports: EngineReports = EngineReports()

        private fun time() = time ?: ClockTime.timeSourceOf(clock)

        internal fun build() =
            HostWorld(
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

/** The daemon of [self] in the world that [build] describes. */
fun hostDaemon(
    self: Host,
    build: HostWorld.Builder.() -> Unit,
): HostDaemon = HostDaemon(HostWorld.Builder(self).apply(build).build())
