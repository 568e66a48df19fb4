package sycamore.entry

import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.daemon.HostLoads
import sycamore.daemon.InForce
import sycamore.daemon.Members
import sycamore.daemon.Peers
import sycamore.decisions.UpstreamState
import sycamore.links.Call
import sycamore.links.HostStatus
import sycamore.model.Address
import sycamore.model.CallId
import sycamore.model.CallerName
import sycamore.model.Configuration
import sycamore.model.Generation
import sycamore.model.Host
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.Link
import sycamore.model.ModelName
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName
import sycamore.model.Service
import sycamore.model.ServiceKind
import sycamore.model.ServiceName
import sycamore.model.Upstream
import sycamore.programs.Request
import sycamore.services.ListedHost
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a new program whose home is on a host that cannot serve it soon: one with a long queue while another
 * host is idle, one that is leaving, or one without the model.
 */
class HomePlacementTest {
    private val places = listOf("near", "far").map { Place(PlaceName(it), RegionName(it)) }
    private val names = listOf(HostName("h1"), HostName("h2"))
    private val upstreams = names.mapIndexed { i, name -> Upstream(name, places[i].name, address(i), capacity = 2) }
    private val service = Service(ServiceName("s"), ServiceKind.MODEL, upstreams)
    private val link = Link(RegionName("near"), RegionName("far"), 12.milliseconds, billed = true)
    private val inForce =
        InForce().apply { offer(Configuration(Generation(1), "p", places, listOf(link), emptyList(), listOf(service))) }
    private val members = Members()
    private val waits = HashMap<HostName, Duration>()

    private fun address(index: Int) = Address("127.0.0.1", index + 1)

    private fun listed(vararg leaving: String) =
        names.mapIndexed { i, name -> ListedHost(name, places[i].name, address(i), name.value in leaving) }

    private fun status(address: Address): HostStatus {
        val index = address.port - 1
        val host = Host(names[index], places[index].name, address, Incarnation("i"))
        val state = UpstreamState(host.name, host.place, 2, wait = waits[host.name] ?: Duration.ZERO)
        return HostStatus(host, leaving = false, queued = 0, running = 0, Generation(1), upstream = state)
    }

    private fun call() =
        Call(
            id = CallId.random(),
            caller = CallerName("c"),
            service = service.name,
            program = null,
            parent = null,
            turn = null,
            request = Request("POST", "/", body = ByteArray(400)),
            append = false,
            released = 0,
            releasedBody = ByteArray(0),
            timeLeft = 60.seconds,
            generation = Generation(1),
        )

    @Test
    fun `a program is placed on the near host until the queue there is long`() =
        runTest {
            members.update(listed())
            val peers = Peers(HostName("e"), members) { to, _ -> flowOf(status(to)) }
            val loads = HostLoads(peers, inForce, testTimeSource)
            val placement = HomePlacement(places[0].name, inForce, members, loads)
            assertEquals(names[0], placement.choose(service, call()))
            waits[names[0]] = 9.seconds
            backgroundScope.launch { loads.run() }
            runCurrent()
            assertEquals(names[1], placement.choose(service, call()))
        }

    @Test
    fun `a leaving host is not chosen, and without any other host there is no home`() =
        runTest {
            val peers = Peers(HostName("e"), members) { to, _ -> flowOf(status(to)) }
            val placement = HomePlacement(places[0].name, inForce, members, HostLoads(peers, inForce, testTimeSource))
            members.update(listed("h1"))
            assertEquals(names[1], placement.choose(service, call()))
            members.update(listed("h1", "h2"))
            assertNull(placement.choose(service, call()))
        }

    @Test
    fun `a call of a model is placed on the only host that serves it`() =
        runTest {
            members.update(listed())
            val peers = Peers(HostName("e"), members) { to, _ -> flowOf(status(to)) }
            val placement = HomePlacement(places[0].name, inForce, members, HostLoads(peers, inForce, testTimeSource))
            val mixed = upstreams.mapIndexed { i, upstream -> upstream.copy(models = listOf(ModelName("m$i"))) }
            val modelCall = call().copy(model = ModelName("m1"))
            assertEquals(names[1], placement.choose(service.copy(upstreams = mixed), modelCall))
        }
}
