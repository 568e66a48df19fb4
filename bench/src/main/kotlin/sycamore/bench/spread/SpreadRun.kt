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
 * The measurements of one run.
 *
 * @property activationTimes the time from each publish until the configuration was in force in all daemons.
 * @property idleCallsPerMinute calls per minute to the key-value service without changes, by all daemons together.
 * @property callsPerChange calls for each change, in addition to the idle calls.
 * @property idleBytesPerSecond bytes per second in link frames of each daemon, sent and received, without changes.
 * @property bytesPerChange bytes in link frames for each daemon and change, in addition to the idle bytes.
 */
internal data class SpreadResult(
    val daemons: Int,
    val places: Int,
    val activationTimes: List<Duration>,
    val idleCallsPerMinute: Double,
    val callsPerChange: Double,
    val idleBytesPerSecond: Double,
    val bytesPerChange: Double,
) {
    override fun toString(): String {
        val sorted = activationTimes.sorted().map { "%.2f".format(it.toDouble(DurationUnit.SECONDS)) }
        return listOf(
            "daemons %4d places %2d".format(daemons, places),
            "in force (s) ${sorted.joinToString(" ")}",
            "calls/idle minute %.1f".format(idleCallsPerMinute),
            "calls/change %.1f".format(callsPerChange),
            "bytes/s and daemon %.0f".format(idleBytesPerSecond),
            "bytes/change and daemon %.0f".format(bytesPerChange),
        ).joinToString("  ")
    }
}

/** Runs the control planes of [daemons] daemons in one process and measures published changes. */
internal class SpreadRun(
    private val daemons: Int,
    private val places: Int,
    private val firstPort: Int,
    private val idle: Duration,
) {
    private val keyValue = KeyValueStore()
    private val hosts = List(daemons) { host(it) }

    private fun host(i: Int): Host {
        val place = PlaceName("p${i % places}")
        val address = Address("127.0.0.1", firstPort + i)
        return Host(HostName("h$i"), place, address, Incarnation.random())
    }

    /** Starts the daemons, measures them once and stops them. */
    suspend fun measure(): SpreadResult =
        coroutineScope {
            val listed = hosts.map { ListedHost(it.name, it.place, it.address) }
            keyValue.publish(configuration(1))
            val job = launch { delay(Duration.INFINITE) }
            val scope = CoroutineScope(coroutineContext + job)
            val running = hosts.map { SpreadDaemon.start(scope, it, listed, keyValue) }
            awaitActivation(running, 1)
            delay(SETTLING_TIME)
            val result = measure(running)
            job.cancelAndJoin()
            running.forEach { it.close() }
            result
        }

    private suspend fun measure(running: List<SpreadDaemon>): SpreadResult {
        val (calls, bytes) = running.sumOf { it.keyValueCalls } to running.sumOf { it.bytes }
        delay(idle)
        val seconds = idle.toDouble(DurationUnit.SECONDS)
        val callRate = (running.sumOf { it.keyValueCalls } - calls) / seconds
        val byteRate = (running.sumOf { it.bytes } - bytes) / seconds
        val before = running.sumOf { it.keyValueCalls } to running.sumOf { it.bytes }
        val start = TimeSource.Monotonic.markNow()
        val times = (2L..CHANGES + 1).map { measureChange(running, it) }
        val elapsed = start.elapsedNow().toDouble(DurationUnit.SECONDS)
        return SpreadResult(
            daemons,
            places,
            times,
            idleCallsPerMinute = callRate * SECONDS_PER_MINUTE,
            callsPerChange = (running.sumOf { it.keyValueCalls } - before.first - callRate * elapsed) / CHANGES,
            idleBytesPerSecond = byteRate / daemons,
            bytesPerChange = (running.sumOf { it.bytes } - before.second - byteRate * elapsed) / CHANGES / daemons,
        )
    }

    private suspend fun measureChange(
        running: List<SpreadDaemon>,
        generation: Long,
    ): Duration {
        val start = TimeSource.Monotonic.markNow()
        keyValue.publish(configuration(generation))
        awaitActivation(running, generation)
        val time = start.elapsedNow()
        delay(PAUSE_BETWEEN_CHANGES)
        return time
    }

    private suspend fun awaitActivation(
        running: List<SpreadDaemon>,
        generation: Long,
    ) {
        withTimeoutOrNull(ACTIVATION_TIMEOUT) {
            while (running.any { it.inForce.generation.value < generation }) delay(CHECK_INTERVAL)
        }
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
        val SETTLING_TIME = 10.seconds
        val PAUSE_BETWEEN_CHANGES = 2.seconds
        val ACTIVATION_TIMEOUT = 60.seconds
        val CHECK_INTERVAL = 10.milliseconds
    }
}
