package sycamore.standins

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.daemon.ConfigurationCodec
import sycamore.daemon.ControlPlane
import sycamore.daemon.InForce
import sycamore.daemon.Members
import sycamore.links.Exchange
import sycamore.links.LinkException
import sycamore.links.MessageHandler
import sycamore.links.Role
import sycamore.links.Unsupported
import sycamore.model.Address
import sycamore.model.Configuration
import sycamore.model.Generation
import sycamore.model.Host
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName
import sycamore.services.KeyValue
import sycamore.services.ListedHost
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.keyValueClient
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Guards against daemons that keep an old configuration or return to one. This could occur when the key-value
 * service is down, stale or restored from a backup, and when the daemons that watch it stop.
 */
class SpreadTest {
    private class Daemon(
        val host: Host,
        val inForce: InForce,
        val members: Members,
        val control: ControlPlane,
        val scope: CoroutineScope,
    ) {
        var serve: MessageHandler = control.wrapHandler { _, _ -> flow { emit(Unsupported) } }
    }

    private class Fleet(
        private val test: TestScope,
        private val keys: KeyValue,
    ) {
        val daemons = LinkedHashMap<Address, Daemon>()
        private val random = Random(7)
        private val clock =
            object : Clock {
                override fun now() = Instant.fromEpochMilliseconds(test.currentTime)
            }

        fun start(
            number: Int,
            run: Int = 1,
        ): Daemon {
            val place = PlaceName("p${number % 3}")
            val name = HostName("h${number.toString().padStart(3, '0')}")
            val host = Host(name, place, Address("10.0.0.${number / 3}", 1000 + number), Incarnation("$number-$run"))
            val scope =
                CoroutineScope(
                    test.backgroundScope.coroutineContext + SupervisorJob(test.backgroundScope.coroutineContext[Job]),
                )
            val inForce = InForce()
            val members = Members().apply { update(listed()) }
            val client = keyValueClient(keys) { time = test.testTimeSource }
            val control =
                ControlPlane(
                    host,
                    Role.HOST,
                    members,
                    inForce,
                    client,
                    exchange(name),
                    clock = clock,
                    time = test.testTimeSource,
                    random = random,
                )
            val daemon = Daemon(host, inForce, members, control, scope)
            daemons[host.address] = daemon
            scope.launch { control.run() }
            return daemon
        }

        fun stop(daemon: Daemon) {
            daemon.scope.cancel()
            daemons.remove(daemon.host.address)
        }

        private fun listed() = daemons.values.map { ListedHost(it.host.name, it.host.place, it.host.address) }

        private fun exchange(from: HostName): Exchange =
            { to, message ->
                flow {
                    delay(5.milliseconds)
                    val daemon = daemons[to] ?: throw LinkException("no daemon at $to", sent = false)
                    emitAll(daemon.serve(from, message))
                }
            }
    }

    private val base =
        Configuration(
            Generation(1),
            "a",
            listOf(Place(PlaceName("p0"), RegionName("r"))),
            emptyList(),
            emptyList(),
            emptyList(),
        )

    private suspend fun KeyValue.publish(generation: Long) {
        val version = (get(InForce.KEY) as ReadResult.Found).value?.version ?: Revision.ABSENT
        put(InForce.KEY, ConfigurationCodec.encode(base.copy(generation = Generation(generation))), version)
    }

    private fun Fleet.generations() = daemons.values.map { it.inForce.generation.value }

    @Test
    fun `a new configuration is in force everywhere within seconds and is never reverted`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            store.publish(1)
            val fleet = Fleet(this, store)
            repeat(30) { fleet.start(it) }
            delay(30.seconds)
            store.publish(2)
            delay(3.seconds)
            assertEquals(List(30) { 2L }, fleet.generations())
            store.restore()
            store.publish(1)
            delay(1.hours)
            assertEquals(List(30) { 2L }, fleet.generations())
        }

    @Test
    fun `daemons that start during an outage get the configuration from peers, even from outdated ones`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            val keys = FaultyKeyValue(store, testTimeSource)
            store.publish(1)
            val fleet = Fleet(this, keys)
            repeat(6) { fleet.start(it) }
            delay(1.minutes)
            keys.setFaults { it.copy(down = true) }
            store.publish(2)
            val late = fleet.start(6)
            delay(30.seconds)
            assertEquals(1, late.inForce.generation.value)
            keys.setFaults { it.copy(down = false, stale = true) }
            keys.setFaults { it.copy(stale = false) }
            delay(15.seconds)
            assertEquals(List(7) { 2L }, fleet.generations())
            keys.setFaults { it.copy(down = true) }
            fleet.stop(fleet.daemons.values.first())
            val restarted = fleet.start(0, run = 2)
            delay(30.seconds)
            assertEquals(2, restarted.inForce.generation.value)
        }

    @Test
    fun `the loss of the daemons that watch the key-value service delays a change by seconds only`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            store.publish(1)
            val fleet = Fleet(this, store)
            repeat(30) { fleet.start(it) }
            delay(1.minutes)
            fleet.daemons.values
                .take(6)
                .forEach(fleet::stop)
            delay(70.seconds)
            store.publish(2)
            delay(7.seconds)
            assertEquals(List(24) { 2L }, fleet.generations())
        }

    @Test
    fun `a host's notice that it leaves reaches its place within two seconds and overrides the host list`() =
        runTest {
            val fleet = Fleet(this, KeyValueStore(testTimeSource))
            repeat(30) { fleet.start(it) }
            delay(1.minutes)
            val leaver = fleet.daemons.values.first { it.host.name.value == "h003" }
            leaver.control.leave()
            delay(2.seconds)
            val place = fleet.daemons.values.filter { it.host.place == leaver.host.place && it != leaver }
            val unaware = place.filterNot { it.members.isLeaving(leaver.host.name) }
            assertTrue(unaware.size <= 1, "${unaware.map { it.host.name }}")
            val other = place.first()
            delay(10.seconds)
            other.members.update(listOf(ListedHost(leaver.host.name, leaver.host.place, leaver.host.address)))
            assertTrue(other.members.isLeaving(leaver.host.name))
            fleet.stop(leaver)
            fleet.start(3, run = 2)
            delay(30.seconds)
            assertFalse(other.members.isLeaving(leaver.host.name))
        }

    @Test
    fun `each daemon receives the summaries of all places with the number of their daemons`() =
        runTest {
            val fleet = Fleet(this, KeyValueStore(testTimeSource))
            repeat(30) { fleet.start(it) }
            delay(2.minutes)
            fleet.daemons.values.forEach { daemon ->
                assertEquals(
                    setOf("p0", "p1", "p2"),
                    daemon.members.places
                        .map { it.place.value }
                        .toSet(),
                )
                assertTrue(daemon.members.places.all { it.daemons == 10 }, "${daemon.members.places}")
            }
        }
}
