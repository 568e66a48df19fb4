package sycamore.entry

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import sycamore.daemon.InForce
import sycamore.daemon.Members
import sycamore.links.Exchange
import sycamore.model.Host
import sycamore.services.KeyValue
import kotlin.time.Clock

/** The outside services and shared components that an [EntryDaemon] depends on. */
class EntryEnvironment private constructor(
    val self: Host,
    val inForce: InForce,
    val members: Members,
    val exchange: Exchange,
    val keys: KeyValue,
    val clock: Clock,
    val metrics: MeterRegistry,
) {
    /** Builds an [EntryEnvironment]. Properties without a default have to be set. */
    class Builder internal constructor(
        private val self: Host,
    ) {
        /** The configuration in force. */
        var inForce: InForce = InForce()

        /** The known hosts. */
        var members: Members = Members()

        /** Sends messages to other daemons. */
        lateinit var exchange: Exchange

        /** The platform's key-value service. */
        lateinit var keys: KeyValue

        /** The clock for the time of day. */
        var clock: Clock = Clock.System

        /** The registry for the daemon's meters. */
        var metrics: MeterRegistry = SimpleMeterRegistry()

        internal fun build() = EntryEnvironment(self, inForce, members, exchange, keys, clock, metrics)
    }
}

/** Creates the entry daemon of [self] in the environment that [build] sets up. */
fun entryDaemon(
    self: Host,
    build: EntryEnvironment.Builder.() -> Unit,
): EntryDaemon = EntryDaemon(EntryEnvironment.Builder(self).apply(build).build())
