package sycamore.bench.spread

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.ConfigurationCodec
import sycamore.daemon.InForce
import sycamore.model.Address
import sycamore.model.Configuration
import sycamore.model.Generation
import sycamore.model.Host
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName
import sycamore.model.Service
import sycamore.model.ServiceKind
import sycamore.model.ServiceName
import sycamore.model.Upstream
import sycamore.services.KeyValue
import sycamore.services.ListedHost
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.standins.KeyValueStore
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * What one run measured.
 *
 * @property inForce time from each publish until it was in force in all daemons.
 * @property idleCalls calls to the key-value service a minute without changes, all daemons together.
 * @property changeCalls calls for each change beyond those.
 * @property idleBytes bytes of frames a second for each daemon, sent and received, without changes.
 * @property changeBytes bytes of frames for each daemon and change beyond those.
 */
internal data class SpreadResult(
    val daemons: Int,
    val places: Int,
    val inForce: List<Duration>,
    val idleCalls: Double,
    val changeCalls: Double,
    val idleBytes: Double,
    val changeBytes: Double,
) {
    override fun toString(): String {
        val sorted = inForce.sorted().map { "%.2f".format(it.toDouble(DurationUnit.SECONDS)) }
        return listOf(
            "daemons %4d places %2d".format(daemons, places),
            "in force (s) ${sorted.joinToString(" ")}",
            "calls/idle minute %.1f".format(idleCalls),
            "calls/change %.1f".format(changeCalls),
            "bytes/s and daemon %.0f".format(idleBytes),
            "bytes/change and daemon %.0f".format(changeBytes),
        ).joinToString("  ")
    }
}

/** Runs the control planes of [daemons] daemons in one process and publishes changes to them. */
internal class SpreadRun(
    private val daemons: Int,
    private val places: Int,
    private val firstPort: Int,
    private val idle: Duration,
) {
    private val keys = KeyValueStore()
    private val hosts = List(daemons) { host(it) }

    private fun host(i: Int): Host {
        val place = PlaceName("p${i % places}")
        val address = Address("127.0.0.1", firstPort + i)
        return Host(HostName("h$i"), place, address, Incarnation.random())
    }

    /** Measures once. */
    suspend fun measure(): SpreadResult =
        coroutineScope {
            val listed = hosts.map { ListedHost(it.name, it.place, it.address) }
            keys.publish(configuration(1))
            val work = launch { delay(Duration.INFINITE) }
            val scope = CoroutineScope(coroutineContext + work)
            val all = hosts.map { SpreadDaemon.start(scope, it, listed, keys) }
            awaitEverywhere(all, 1)
            delay(SETTLE)
            val result = measure(all)
            work.cancelAndJoin()
            all.forEach { it.close() }
            result
        }

    private suspend fun measure(all: List<SpreadDaemon>): SpreadResult {
        val (calls, bytes) = all.sumOf { it.keyValueCalls } to all.sumOf { it.bytes }
        delay(idle)
        val seconds = idle.toDouble(DurationUnit.SECONDS)
        val callRate = (all.sumOf { it.keyValueCalls } - calls) / seconds
        val byteRate = (all.sumOf { it.bytes } - bytes) / seconds
        val before = all.sumOf { it.keyValueCalls } to all.sumOf { it.bytes }
        val mark = TimeSource.Monotonic.markNow()
        val times = (2L..CHANGES + 1).map { change(all, it) }
        val passed = mark.elapsedNow().toDouble(DurationUnit.SECONDS)
        return SpreadResult(
            daemons,
            places,
            times,
            idleCalls = callRate * SECONDS_PER_MINUTE,
            changeCalls = (all.sumOf { it.keyValueCalls } - before.first - callRate * passed) / CHANGES,
            idleBytes = byteRate / daemons,
            changeBytes = (all.sumOf { it.bytes } - before.second - byteRate * passed) / CHANGES / daemons,
        )
    }

    private suspend fun change(
        all: List<SpreadDaemon>,
        generation: Long,
    ): Duration {
        val mark = TimeSource.Monotonic.markNow()
        keys.publish(configuration(generation))
        awaitEverywhere(all, generation)
        val time = mark.elapsedNow()
        delay(BETWEEN)
        return time
    }

    private suspend fun awaitEverywhere(
        all: List<SpreadDaemon>,
        generation: Long,
    ) {
        withTimeoutOrNull(GIVE_UP) { while (all.any { it.inForce.generation.value < generation }) delay(CHECK) }
    }

    private suspend fun KeyValue.publish(configuration: Configuration) {
        val version = (get(InForce.KEY) as ReadResult.Found).value?.version ?: Revision.ABSENT
        put(InForce.KEY, ConfigurationCodec.encode(configuration), version)
    }

    private fun configuration(generation: Long): Configuration {
        val upstreams =
            hosts.mapIndexed { i, host ->
                val capacity = if (i == 0) generation.toInt() else 1
                Upstream(host.name, host.place, host.address, capacity)
            }
        val service = Service(ServiceName("s"), ServiceKind.SERVICE, upstreams)
        val placeList = List(places) { Place(PlaceName("p$it"), RegionName("r")) }
        return Configuration(
            Generation(generation),
            "$generation",
            placeList,
            emptyList(),
            emptyList(),
            listOf(service),
        )
    }

    private companion object {
        const val CHANGES = 5
        const val SECONDS_PER_MINUTE = 60
        val SETTLE = 10.seconds
        val BETWEEN = 2.seconds
        val GIVE_UP = 60.seconds
        val CHECK = 10.milliseconds
    }
}
