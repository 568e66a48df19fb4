package sycamore.soak

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Http4kServer
import sycamore.daemon.Http
import sycamore.daemon.HttpLimits
import sycamore.model.Address
import sycamore.platform.SampleDocuments
import sycamore.platform.StoreHandler
import sycamore.platform.StoreKeys
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.standins.FaultyKeyValue
import sycamore.standins.KeyValueStore
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The daemons of one run as processes, each at an IP address of its own on loopback, with a store and upstreams in this
 * process.
 */
internal class Deployment(
    private val plan: SoakPlan,
    private val observations: Observations,
    private val scope: CoroutineScope,
    val accounts: AccountKeys?,
) {
    val counts = UpstreamCounts()
    private val network = freeNetwork()
    private val operator = KeyValueStore()
    private val storeServers = ArrayList<Http4kServer>()
    private val storeRelays = HashMap<Daemon, Relay>()
    private var nextHost = FIRST_HOST

    /** The store as each daemon sees it, with the faults that only this daemon experiences. */
    val stores = HashMap<Daemon, FaultyKeyValue>()

    val daemons: List<Daemon> =
        List(plan.homes) { daemon(Role.HOME, it) } +
            List(plan.retainers) { daemon(Role.RETAINER, it) } +
            List(plan.hosts) { daemon(Role.GATEWAY, it) }
    val gateways: List<Daemon> get() = daemons.filter { it.role == Role.GATEWAY }

    val upstreams: List<Upstream> =
        daemons.filter { it.role == Role.HOME }.map {
            upstream(
                it.name,
                Address(it.ip, ENGINE_PORT),
                isEngine = true,
            )
        } +
            List(
                plan.plainUpstreams,
            ) { upstream("plain$it", Address("$network.${nextHost++}", PLAIN_PORT), isEngine = false) }

    /** The upstreams whose registration is not renewed at present. */
    val lapsed: MutableSet<Upstream> = ConcurrentHashMap.newKeySet()

    /** The extra routes of the configurations that were published. */
    val routes = RouteHistory()

    /** Ends the daemons with the soak, also when it is interrupted. */
    private val killAll = Thread { daemons.forEach(Daemon::kill) }

    private val configurations = Mutex()
    private val registrations = Mutex()
    private val written = HashMap<Upstream, String>()
    private var version = 0
    private var placement = TurnPlacement.ENGINES

    suspend fun start() {
        Runtime.getRuntime().addShutdownHook(killAll)
        configure(hasExtraRoute = false)
        upstreams.forEach(Upstream::start)
        scope.launch { renewRegistrations() }
        daemons.forEach(Daemon::start)
    }

    /**
     * Publishes a new configuration, in which the standard routes stay as they were and an earlier extra route is dropped.
     * Keys of accounts change as [keyChoices] determines, if it is not null.
     */
    suspend fun configure(
        hasExtraRoute: Boolean,
        keyChoices: Random? = null,
    ) = configurations.withLock { publish(hasExtraRoute, keyChoices) }

    /** Publishes a new configuration, in which the turns run as [placement] says. */
    suspend fun moveTurns(placement: TurnPlacement) =
        configurations.withLock {
            this.placement = placement
            publish(hasExtraRoute = false)
        }

    private suspend fun publish(
        hasExtraRoute: Boolean,
        keyChoices: Random? = null,
    ) {
        version++
        val extra = if (hasExtraRoute) ChangingRoute("/extra$version/") else null
        val plain = configuration(extra?.prefix)
        routes.replace(extra) {
            if (accounts == null) return@replace put(StoreKeys.CONFIGURATION, plain)
            accounts.replace(keyChoices) { keys ->
                val document = SampleDocuments.withAccounts(plain, version, keys, limits = accounts.limits)
                put(StoreKeys.CONFIGURATION, document)
            }
        }
    }

    private fun configuration(extra: String?): ByteArray =
        SampleDocuments.configurationOfAllKinds(
            version,
            HOST,
            CallKind.TURN.prefix,
            placement.weights(ENGINES, PLAIN),
            ENGINES.takeIf { placement.hasProfile },
            CallKind.REPEATABLE.prefix,
            CallKind.ONCE.prefix,
            PLAIN,
            extra,
            callTime = plan.deadline,
            turnTime = plan.deadline + TURN_RESERVE,
        )

    /** Writes [value] at [key] as another writer of the store would; null removes it. */
    suspend fun put(
        key: String,
        value: ByteArray?,
        isLeased: Boolean = false,
    ) {
        val current = (operator.get(key) as ReadResult.Found).value?.version ?: Revision.ABSENT
        if (value == null) {
            operator.delete(key, current)
        } else {
            operator.put(key, value, current, if (isLeased) REGISTRATION_LEASE else null)
        }
    }

    fun oddEntries(): List<ByteArray> = SampleDocuments.oddEntries(PLAIN, Address("$network.1", 1), PLACE)

    /** Silences those of the open connections of [daemon] to the store for which [isSelected] returns true. */
    fun silenceStore(
        daemon: Daemon,
        isSelected: () -> Boolean,
    ) = storeRelays.getValue(daemon).silence(isSelected)

    fun callersAddress(gateway: Daemon) = InetSocketAddress(gateway.ip, CALLERS_PORT)

    suspend fun stop() {
        daemons.forEach(Daemon::kill)
        upstreams.forEach(Upstream::close)
        storeRelays.values.forEach(Relay::close)
        coroutineScope { storeServers.forEach { launch(Dispatchers.IO) { it.stop() } } }
        Runtime.getRuntime().removeShutdownHook(killAll)
    }

    private suspend fun renewRegistrations() {
        while (true) {
            for (upstream in upstreams - lapsed.toSet()) register(upstream)
            delay(REGISTRATION_INTERVAL)
        }
    }

    private suspend fun register(upstream: Upstream) =
        registrations.withLock {
            val id = upstream.id
            val previous = written.put(upstream, id)
            if (previous != null && previous != id) put(StoreKeys.UPSTREAMS + previous, null)
            val registration = upstream.registration
            if (registration == Registration.NONE) return@withLock put(StoreKeys.UPSTREAMS + id, null)
            val service = if (upstream.isEngine) ENGINES else PLAIN
            val state = registration.name.lowercase()
            val entry =
                SampleDocuments.upstreamEntry(
                    service,
                    upstream.address,
                    PLACE,
                    state,
                    plan.limits.slots,
                    upstream.bornMillis,
                )
            put(StoreKeys.UPSTREAMS + id, entry, isLeased = true)
        }

    /** Lets [upstream] leave as [departure] says, and start again. */
    suspend fun leave(
        upstream: Upstream,
        departure: Departure,
    ) {
        upstream.isLeaving = departure.isAnnounced
        upstream.registration = departure.registration
        register(upstream)
        if (departure.registration != Registration.READY) observations.recordLeaving(upstream.start)
        delay(SampleDocuments.drainTime + departure.extra)
        upstream.registration = Registration.NONE
        register(upstream)
        upstream.leave()
        delay(departure.absence)
        val address = upstream.address
        val isMoving = departure.isMoving && !upstream.isEngine
        val port = if (isMoving) PLAIN_PORT + PLAIN_PORT - address.port + 1 else address.port
        upstream.startAgain(Address(address.ip, port), departure.hasSameId)
        register(upstream)
    }

    private fun daemon(
        role: Role,
        number: Int,
    ): Daemon {
        val name = "${role.name.lowercase()}$number"
        val ip = "$network.${nextHost++}"
        val store = Address(ip, STORE_PORT)
        val data =
            plan.folder
                .resolve("$name-data")
                .takeIf { role == Role.RETAINER }
                ?.apply { mkdirs() }
        val settings = plan.folder.resolve("$name.toml")
        val isGateway = role == Role.GATEWAY
        val listeners = SampleDocuments.callerSettings(Address(ip, CALLERS_PORT), Address(ip, READINESS_PORT))
        val engine = Address(ip, ENGINE_PORT).takeIf { role == Role.HOME }
        Files.writeString(
            settings.toPath(),
            SampleDocuments.hostSettings(
                name,
                PLACE,
                Address(ip, LINK_PORT),
                engine,
                store,
                data?.absolutePath,
                if (isGateway) listeners else "",
            ),
        )
        val log = plan.folder.resolve("$name.log")
        val daemon =
            Daemon(name, role, ip, settings.toPath(), log, plan.classPath) { ended, code ->
                observations.report(Rule.EXIT, ended.name, "the process ended by itself with code $code")
            }
        val view = FaultyKeyValue(operator)
        stores[daemon] = view
        val server = Address(ip, STORE_SERVER_PORT)
        storeServers += Http.serve(server, storeHandler(view), HttpLimits(requests = STORE_REQUESTS))
        storeRelays[daemon] = Relay(store, server)
        return daemon
    }

    /** Serves [view]. Watches that wait when the server stops are interrupted. */
    private fun storeHandler(view: FaultyKeyValue): HttpHandler {
        val handler = StoreHandler(view).handler
        return { request ->
            try {
                handler(request)
            } catch (_: InterruptedException) {
                Response(Status.SERVICE_UNAVAILABLE)
            }
        }
    }

    private fun upstream(
        name: String,
        address: Address,
        isEngine: Boolean,
    ) = Upstream(
        name,
        address,
        isEngine,
        plan.limits,
        plan.seed * SEED_FACTOR + name.hashCode(),
        observations,
        counts,
        scope,
    )

    companion object {
        const val HOST = "soak.example"
        private const val PLACE = "here"
        private const val ENGINES = "engines"
        private const val PLAIN = "plain"
        private const val FIRST_HOST = 2
        private const val SEED_FACTOR = 1_000_003L
        private const val STORE_REQUESTS = 40

        // Below the range of ports for outgoing connections.
        private const val LINK_PORT = 7380
        private const val READINESS_PORT = 8141
        private const val STORE_PORT = 8142
        private const val STORE_SERVER_PORT = 8143
        private const val CALLERS_PORT = 8149
        private const val ENGINE_PORT = 8150
        private const val PLAIN_PORT = 8151

        private val TURN_RESERVE = 3.seconds
        private val REGISTRATION_INTERVAL = 1_000.milliseconds
        private val REGISTRATION_LEASE = 3.seconds

        /** The first three numbers of addresses on loopback that no other run uses. */
        private fun freeNetwork(): String {
            val pid = ProcessHandle.current().pid()
            return (0 until NETWORKS)
                .map { "127.${1 + (pid + it) % NETWORKS}.${1 + pid / NETWORKS % NETWORKS}" }
                .first { isFree("$it.$FIRST_HOST") }
        }

        private fun isFree(ip: String): Boolean =
            try {
                ServerSocket(STORE_PORT, 1, InetAddress.getByName(ip)).close()
                true
            } catch (_: IOException) {
                false
            }

        private const val NETWORKS = 250
    }
}
