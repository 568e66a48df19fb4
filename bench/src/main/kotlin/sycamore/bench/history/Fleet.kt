package sycamore.bench.history

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import sycamore.daemon.ControlPlane
import sycamore.daemon.InForce
import sycamore.daemon.Members
import sycamore.entry.EntryDaemon
import sycamore.entry.entryDaemon
import sycamore.host.CallUpstream
import sycamore.host.HostDaemon
import sycamore.host.HostEnvironment
import sycamore.host.hostDaemon
import sycamore.links.Exchange
import sycamore.links.MessageHandler
import sycamore.links.Role
import sycamore.model.Address
import sycamore.model.Budget
import sycamore.model.Caller
import sycamore.model.CallerName
import sycamore.model.Configuration
import sycamore.model.Contract
import sycamore.model.Digest
import sycamore.model.Generation
import sycamore.model.Host
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.ModelName
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
import sycamore.services.WriteResult
import sycamore.services.keyValueClient
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * A running daemon of the simulated fleet, with the components that callers and checks use.
 *
 * @property run the number of this start of the daemon on its host, from 1.
 * @property entry the entry daemon, or null on a host that serves homes.
 * @property home the host daemon, or null on an entry host.
 */
internal class RunningDaemon(
    val host: Host,
    val run: Int,
    val dispatcher: ProcessDispatcher,
    val scope: CoroutineScope,
    val inForce: InForce,
    val control: ControlPlane,
    val entry: EntryDaemon?,
    val home: HostDaemon?,
) {
    fun pause() = dispatcher.pause()

    fun resume() = dispatcher.resume()
}

/**
 * Interceptors of what the daemons of a run exchange with their environment, per host. By default, nothing is changed.
 *
 * @property exchange wraps the messages that a daemon sends.
 * @property keys wraps the key-value client of a daemon.
 * @property upstream wraps the calls that a daemon makes to upstreams.
 * @property host changes the settings of each host daemon.
 */
internal class FleetInterceptors(
    val exchange: (HostName, Exchange) -> Exchange = { _, exchange -> exchange },
    val keys: (HostName, KeyValue) -> KeyValue = { _, keys -> keys },
    val upstream: (HostName, CallUpstream) -> CallUpstream = { _, call -> call },
    val host: HostEnvironment.Builder.() -> Unit = {},
)

/** The daemons of a run: the production code of entries and hosts, with fakes of the network, store and upstreams. */
internal class Fleet(
    private val simulationScope: CoroutineScope,
    private val dispatcher: CoroutineDispatcher,
    private val clock: Clock,
    private val time: TimeSource,
    private val keys: KeyValue,
    private val recorder: Recorder,
    private val upstreams: Upstreams,
    private val network: Network,
    private val interceptors: FleetInterceptors = FleetInterceptors(),
) {
    private val places = listOf("svea", "gota", "norr").map { Place(PlaceName("$it-a"), RegionName(it)) }
    private val models = List(MODEL_HOSTS) { HostName("m$it") }
    private val orderHosts = List(ORDER_HOSTS) { HostName("o$it") }
    private val running = HashMap<HostName, RunningDaemon>()
    private val runs = HashMap<HostName, Int>()
    private val leaving = HashSet<HostName>()

    /** The hosts that run beside upstreams. */
    val hosts: List<HostName> = models + orderHosts

    /** The entry hosts. */
    val entries: List<HostName> = List(ENTRY_HOSTS) { HostName("e$it") }

    /** All regions. */
    val regions: List<RegionName> = places.map { it.region }

    /** The service of model engines. */
    val chatService = ServiceName("assist-llm")

    /** The service that has non-idempotent calls. */
    val orderService = ServiceName("order-app")

    /** Publishes a first configuration and starts all daemons. */
    suspend fun start() {
        publish()
        (hosts + entries).forEach { start(it) }
    }

    /** Whether a daemon runs on [host] and is not being stopped. */
    fun isUp(host: HostName): Boolean = host in running && host !in leaving

    /** The daemon that runs on [host]. */
    fun daemonOn(host: HostName): RunningDaemon = running.getValue(host)

    /** All running daemons. */
    fun runningDaemons(): List<RunningDaemon> = running.values.toList()

    /** The region of [host]. */
    fun regionOf(host: HostName): RegionName = placeOf(host).region

    /** One-way latency between two hosts. */
    fun latency(
        from: HostName,
        to: HostName,
    ): Duration = if (regionOf(from) == regionOf(to)) SAME_REGION_LATENCY else OTHER_REGION_LATENCY

    /** The published configuration of the service [name]. */
    fun service(name: ServiceName): Service = configuration(Generation.NONE).service(name)!!

    /** Starts a new run of the daemon on [name], as a new incarnation. */
    fun start(name: HostName) {
        val run = (runs[name] ?: 0) + 1
        runs[name] = run
        val host = Host(name, placeOf(name).name, addressOf(name), Incarnation("$name-$run"))
        val process = ProcessDispatcher(simulationScope, dispatcher)
        val scope = CoroutineScope(process + SupervisorJob())
        val daemon = build(host, run, process, scope)
        running[name] = daemon
        leaving -= name
        network.attach(Endpoint(host, scope, messageHandlerOf(daemon)) { process.isAlive })
    }

    private fun build(
        host: Host,
        run: Int,
        process: ProcessDispatcher,
        scope: CoroutineScope,
    ): RunningDaemon {
        val inForce = InForce()
        val members = Members()
        val ownKeys = interceptors.keys(host.name, keyValueClient(keys) { time = this@Fleet.time })
        val exchange = interceptors.exchange(host.name, network.exchangeOf(host.name))
        val role = if (host.name in entries) Role.ENTRY else Role.HOST
        val random = Random((host.name.value + run).hashCode())
        val control =
            ControlPlane(host, role, members, inForce, ownKeys, exchange, clock = clock, time = time, random = random)
        scope.launch { control.run() }
        scope.launch { members.pollHostList { hostListEntries() } }
        if (host.name in entries) {
            val entry =
                entryDaemon(host) {
                    this.inForce = inForce
                    this.members = members
                    this.keys = ownKeys
                    this.exchange = exchange
                    this.clock = this@Fleet.clock
                }
            scope.launch { entry.run() }
            return RunningDaemon(host, run, process, scope, inForce, control, entry, home = null)
        }
        val home =
            hostDaemon(host) {
                this.inForce = inForce
                this.members = members
                this.keys = ownKeys
                this.exchange = exchange
                this.clock = this@Fleet.clock
                engine = interceptors.upstream(host.name, upstreams::callEngine)
                service = interceptors.upstream(host.name, upstreams::callOrderService)
                interceptors.host(this)
                evictCache = { upstream, program -> upstreams.evict(upstream.host, program) }
            }
        scope.launch { home.run() }
        return RunningDaemon(host, run, process, scope, inForce, control, entry = null, home = home)
    }

    private fun messageHandlerOf(daemon: RunningDaemon): MessageHandler =
        daemon.control.wrapHandler { from, message ->
            daemon.entry?.serve(from, message) ?: daemon.home!!.serve(from, message)
        }

    /** Kills the daemon on [name]; nothing of it runs any more. */
    fun kill(name: HostName) {
        val daemon = running.remove(name) ?: return
        daemon.dispatcher.kill()
        network.detach(daemon.host.address)
    }

    /** Carries out a planned stop of the daemon on [name] and waits until it has ended. */
    suspend fun stop(name: HostName) {
        val daemon = running.getValue(name)
        leaving += name
        recorder.record { StopBegan(it, name) }
        val stopping = daemon.scope.launch { stopDaemon(daemon) }
        stopping.join()
        if (running[name] !== daemon) return
        kill(name)
        leaving -= name
        recorder.record { StopEnded(it, name) }
    }

    private suspend fun stopDaemon(daemon: RunningDaemon) {
        daemon.control.leave()
        daemon.home?.stop()
        val entry = daemon.entry ?: return
        delay(ENTRY_GRACE_PERIOD)
        while (entry.callsInProgress > 0) delay(DRAIN_POLL_INTERVAL)
    }

    /** Publishes the configuration under the next generation, unless the key-value service fails. */
    suspend fun publish() {
        val read = keys.get(InForce.KEY) as? ReadResult.Found ?: return
        val last = read.value?.value?.let { InForce.decode(it).generation } ?: Generation.NONE
        val next = configuration(last.next())
        val expected = read.value?.version ?: Revision.ABSENT
        val write = keys.put(InForce.KEY, InForce.encode(next), expected)
        if (write is WriteResult.Applied) recorder.record { Published(it, next.generation) }
    }

    private fun hostListEntries(): List<ListedHost> =
        running.values.filter { it.home != null || it.entry != null }.map {
            ListedHost(it.host.name, it.host.place, it.host.address, it.host.name in leaving)
        }

    private fun placeOf(host: HostName): Place = places[host.value.drop(1).toInt() % places.size]

    private fun addressOf(host: HostName): Address = Address("10.0.0.${(hosts + entries).indexOf(host) + 1}", LINK_PORT)

    private fun configuration(generation: Generation): Configuration =
        Configuration(
            generation = generation,
            publishId = "publish-$generation",
            places = places,
            links = emptyList(),
            callers = listOf(Caller(caller, salt = "", Digest.sha256(ByteArray(0)))),
            services =
                listOf(
                    Service(
                        chatService,
                        ServiceKind.MODEL,
                        models.map { upstream(it) },
                        budget = BUDGET,
                        idleLimit = IDLE_LIMIT,
                    ),
                    Service(orderService, ServiceKind.SERVICE, orderHosts.map { upstream(it) }, CONTRACTS, BUDGET),
                ),
        )

    private fun upstream(host: HostName): Upstream =
        Upstream(
            host = host,
            place = placeOf(host).name,
            address = addressOf(host).copy(port = UPSTREAM_PORT),
            capacity = UPSTREAM_CAPACITY,
            models = if (host in models) listOf(model) else emptyList(),
            memory = UPSTREAM_MEMORY_BYTES,
        )

    companion object {
        private const val MODEL_HOSTS = 3
        private const val ORDER_HOSTS = 2
        private const val ENTRY_HOSTS = 2
        private const val LINK_PORT = 7400
        private const val UPSTREAM_PORT = 7700
        private const val UPSTREAM_CAPACITY = 8
        private const val UPSTREAM_MEMORY_BYTES = 64L shl 20
        private val SAME_REGION_LATENCY = 1.milliseconds
        private val OTHER_REGION_LATENCY = 12.milliseconds
        private val IDLE_LIMIT = 60.seconds
        private val DRAIN_POLL_INTERVAL = 50.milliseconds
        private val ENTRY_GRACE_PERIOD = 3.seconds
        private val CONTRACTS =
            listOf(
                Contract("GET", "/*", idempotent = true, deadline = 5.seconds),
                Contract("POST", "/deposits", idempotent = false, deadline = 20.seconds),
            )

        /** The tokens that a program of this run may spend, sub-agents included. */
        val BUDGET = Budget(tokens = 4_000, calls = 60)

        /** The account of all callers. */
        val caller = CallerName("workshop")

        /** The model of all engines. */
        val model = ModelName("wheel-7b")
    }
}
