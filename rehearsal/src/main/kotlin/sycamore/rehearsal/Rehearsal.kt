package sycamore.rehearsal

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.http4k.client.JettyClient
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import sycamore.daemon.Http
import sycamore.forwarding.CallerServer
import sycamore.forwarding.PlatformDaemon
import sycamore.forwarding.UpstreamClient
import sycamore.gateway.Gateway
import sycamore.homes.HomeDaemon
import sycamore.model.Address
import sycamore.model.Checked
import sycamore.platform.HostSettings
import sycamore.platform.SampleDocuments
import sycamore.platform.StoreKeys
import sycamore.retainer.RetainerDaemon
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.standins.KeyValueServer
import sycamore.standins.KeyValueStore
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The result of a [Rehearsal].
 *
 * @property completeTurns the number of turns that were answered completely.
 * @property completeCalls the number of plain calls that were answered completely.
 * @property lastPrompt the body of the last request that the engines received.
 */
data class RehearsalResult(
    val completeTurns: Int,
    val completeCalls: Int,
    val lastPrompt: String,
) {
    /** Combines this result with the result of [later] turns. */
    internal operator fun plus(later: RehearsalResult) =
        RehearsalResult(completeTurns + later.completeTurns, completeCalls + later.completeCalls, later.lastPrompt)
}

/**
 * A run of a gateway, two homes with their engines, two retainers and a store within this process, which
 * communicate over loopback.
 */
class Rehearsal(
    private val scope: CoroutineScope,
    private val folder: Path,
) {
    private val store = KeyValueStore()
    private val storeAddress = freeAddress()
    private val engines = hostAddresses(freeAddress().port)
    private val plain = freeAddress()
    private val homes = hostAddresses(freeAddress().port)
    private val callers = freeAddress()
    private val metrics = freeAddress()

    @Volatile
    private var lastPrompt = ""

    /** The id of the last complete turn. */
    private var previous: String? = null

    /** The prefix of the path of plain calls. */
    private var calls = "/calls/"

    /**
     * Starts all daemons, sends [turns] turns of one program and the same number of plain calls, and returns the
     * results. After half of the turns, the program's home stops and the other home takes over.
     */
    suspend fun run(turns: Int): RehearsalResult {
        val first = startAll()
        val firstHalf = sendTurnsAndCalls(0 until turns / 2)
        startHome("h1", homes[1], engines[1])
        first.stop(STOP_TIMEOUT)
        val result = firstHalf + sendTurnsAndCalls(turns / 2 until turns)
        JettyClient()(Request(Method.GET, "http://$metrics/metrics"))
        return result
    }

    /**
     * Starts all daemons but the second home, and sends [turns] turns of one program while the route of turns leads to engines, then to a
     * service without engines, and then to engines again. Returns the results of the three parts.
     */
    suspend fun runWithMovedTurns(turns: Int): List<RehearsalResult> {
        startAll()
        return listOf(ENGINES, PLAIN, ENGINES).mapIndexed { part, service ->
            if (part > 0) moveTurns(service, part + 1)
            sendTurnsAndCalls(turns * part until turns * (part + 1))
        }
    }

    /** Starts all daemons but the second home, and returns the first home. */
    private suspend fun startAll(): HomeDaemon {
        Http.serve(storeAddress, KeyValueServer(store).handler)
        engines.forEach { Http.serve(it, ::answerUpstream) }
        Http.serve(plain, ::answerUpstream)
        writeConfiguration()
        repeat(RETAINER_COUNT) { startRetainer(it) }
        return startHome("h0", homes[0], engines[0]).also { startGateway() }
    }

    /**
     * Publishes a configuration whose turns run at [service]. Its plain calls have another path, so that the first answer to one shows
     * that the gateway has applied it.
     */
    private suspend fun moveTurns(
        service: String,
        version: Int,
    ) {
        calls = "/calls$version/"
        val current = store.get(StoreKeys.CONFIGURATION) as ReadResult.Found
        val next =
            SampleDocuments.configuration(HOST, "/turns/", ENGINES, calls, PLAIN, version = version, turnsTo = service)
        store.put(StoreKeys.CONFIGURATION, next, current.value!!.version)
        retryUntilServed { JettyClient()(request("${calls}1", SampleDocuments.callHeaders("moved$version-$it"), "")) }
    }

    private suspend fun writeConfiguration() {
        val configuration = SampleDocuments.configuration(HOST, "/turns/", ENGINES, calls, PLAIN)
        store.put(StoreKeys.CONFIGURATION, configuration, Revision.ABSENT)
        store.put(
            StoreKeys.UPSTREAMS + "e1",
            SampleDocuments.upstreamEntry(ENGINES, engines[0], PLACE),
            Revision.ABSENT,
        )
        store.put(
            StoreKeys.UPSTREAMS + "e2",
            SampleDocuments.upstreamEntry(ENGINES, engines[1], PLACE),
            Revision.ABSENT,
        )
        store.put(
            StoreKeys.UPSTREAMS + "a1",
            SampleDocuments.upstreamEntry(PLAIN, plain, PLACE),
            Revision.ABSENT,
        )
    }

    private fun answerUpstream(request: Request): Response {
        val headers = SampleDocuments.answerHeaders(request.headers.map { it.first to it.second.orEmpty() })
        val head = headers.fold(Response(Status.OK)) { response, (name, value) -> response.header(name, value) }
        if (request.uri.path.startsWith("/calls")) return head.body("done")
        lastPrompt = request.bodyString()
        val events = (1..EVENTS_PER_ANSWER).joinToString("") { "id: $it\ndata: word$it\n\n" }
        return head.header("Content-Type", "text/event-stream").body(events)
    }

    private suspend fun startRetainer(number: Int) {
        val settings = settings("r$number", freeAddress(), engine = null)
        val runtime = PlatformDaemon(settings)
        RetainerDaemon.start(settings, folder.resolve("r$number"), runtime, scope)
    }

    private suspend fun startHome(
        name: String,
        links: Address,
        engine: Address,
    ): HomeDaemon {
        val settings = settings(name, links, engine)
        val runtime = PlatformDaemon(settings)
        val daemon =
            HomeDaemon(
                settings,
                runtime.keyValue,
                runtime.links::exchange,
                UpstreamClient(runtime.metrics.registry)::exchange,
                runtime.metrics.registry,
                scope.coroutineContext,
            )
        runtime.serveLinks(daemon::serve)
        scope.launch { daemon.run() }
        return daemon
    }

    private fun startGateway() {
        val settings = settings("g1", homes[0], engine = null)
        val runtime = PlatformDaemon(settings)
        val gateway =
            Gateway(
                settings,
                runtime.keyValue,
                runtime.links::exchange,
                UpstreamClient(runtime.metrics.registry)::exchange,
                runtime.metrics.registry,
                runtime.plannedStop,
            )
        scope.launch { gateway.run() }
        scope.launch { runtime.serveMetrics(metrics.port, startDelay = Duration.ZERO) }
        CallerServer(CallerServer.listen(callers), gateway::limits, Dispatchers.Default, gateway::serve).start()
    }

    private suspend fun sendTurnsAndCalls(turns: IntRange): RehearsalResult {
        val client = JettyClient()
        var completeTurns = 0
        var completeCalls = 0
        for (number in turns) {
            val turn =
                retryUntilServed {
                    client(
                        request(
                            "/turns/1",
                            SampleDocuments.turnHeaders("t$number-$it", "p", previous),
                            "input$number;",
                        ),
                    )
                }
            // The following turns would fail for the same reason, so that the build does not wait for them.
            if (turn == null) break
            completeTurns++
            previous = turn.header("X-Request-Id")
            val call =
                retryUntilServed { client(request("${calls}1", SampleDocuments.callHeaders("c$number-$it"), "")) }
            if (call?.bodyString() == "done") completeCalls++
        }
        return RehearsalResult(completeTurns, completeCalls, lastPrompt)
    }

    /** Repeats a request until it succeeds, while the daemons start. Returns null after too many attempts. */
    private suspend fun retryUntilServed(send: (attempt: Int) -> Response): Response? {
        repeat(MAX_ATTEMPTS) { attempt ->
            val response = send(attempt)
            if (response.status == Status.OK) return response
            delay(RETRY_DELAY)
        }
        return null
    }

    private fun request(
        path: String,
        headers: List<Pair<String, String>>,
        body: String,
    ): Request {
        val bare = Request(Method.POST, "http://$callers$path").header("Host", HOST).body(body)
        return headers.fold(bare) { request, (name, value) -> request.header(name, value) }
    }

    private fun settings(
        name: String,
        links: Address,
        engine: Address?,
    ): HostSettings {
        val text = SampleDocuments.hostSettings(name, PLACE, links, engine, storeAddress)
        return when (val read = HostSettings.read(name, text)) {
            is Checked.Valid -> read.value
            is Checked.Invalid -> error(read.findings.joinToString())
        }
    }

    private companion object {
        val STOP_TIMEOUT = 8.seconds
        const val HOST = "rehearsal.example"
        const val PLACE = "here"
        const val ENGINES = "engines"
        const val PLAIN = "plain"
        const val RETAINER_COUNT = 2
        const val HOME_COUNT = 2
        const val EVENTS_PER_ANSWER = 5
        const val MAX_ATTEMPTS = 20
        val RETRY_DELAY = 100.milliseconds

        /** Addresses with the same [port] on each host of a home, since all hosts serve links at one port. */
        fun hostAddresses(port: Int): List<Address> = List(HOME_COUNT) { Address("127.0.0.${it + 1}", port) }

        /** An unused address on loopback. */
        fun freeAddress(): Address = ServerSocket(0).use { Address("127.0.0.1", it.localPort) }
    }
}
