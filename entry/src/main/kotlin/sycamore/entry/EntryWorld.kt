package sycamore.entry

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import sycamore.daemon.InForce
import sycamore.daemon.Members
import sycamore.links.Exchange
import sycamore.model.Host
import sycamore.services.KeyValue
import kotlin.time.Clock

/** All that an [EntryDaemon] meets outside itself. */
class EntryWorld private constructor(
    val self: Host,
    val inForce: InForce,
    val members: Members,
    val exchange: Exchange,
    val keys: KeyValue,
    val clock: Clock,
    val metrics: MeterRegistry,
) {
    /** Collects the parts of an [EntryWorld]; those without a default have to be set. */
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

        /** Tells the time of day. */
        var clock: Clock = Clock.System

        /** Where the daemon registers its meters. */
        var metrics: MeterRegistry = SimpleMeterRegistry()

        internal fun build() = EntryWorld(self, inForce, members, exchange, keys, clock, metrics)
    }
}

/** The daemon of [self] in the world that [build] describes. */
fun entryDaemon(
    self: Host,
    build: EntryWorld.Builder.() -> Unit,
): EntryDaemon = EntryDaemon(EntryWorld.Builder(self).apply(build).build())
