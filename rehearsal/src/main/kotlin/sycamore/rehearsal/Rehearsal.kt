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
import sycamore.services.Revision
import sycamore.standins.KeyValueServer
import sycamore.standins.KeyValueStore
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a [Rehearsal] saw. */
data class RehearsalResult(
    val wholeTurns: Int,
    val wholeCalls: Int,
    val lastPrompt: String,
) {
    /** What was seen here and then in [later]. */
    internal operator fun plus(later: RehearsalResult) =
        RehearsalResult(wholeTurns + later.wholeTurns, wholeCalls + later.wholeCalls, later.lastPrompt)
}

/** A gateway, two homes with their engines, two retainers and a store in this process, on loopback. */
class Rehearsal(
    private val scope: CoroutineScope,
    private val folder: Path,
) {
    private val store = KeyValueStore()
    private val storeAddress = free()
    private val engines = hosts(free().port)
    private val plain = free()
    private val homes = hosts(free().port)
    private val callers = free()
    private val metrics = free()

    @Volatile
    private var lastPrompt = ""

    /** The last turn that was answered whole. */
    private var previous: String? = null

    /**
     * Starts all daemons, sends [turns] turns of one program and as many plain calls, and returns what came of them.
     * Halfway the program's home stops, and the other one takes over.
     */
    suspend fun run(turns: Int): RehearsalResult {
        Http.serve(storeAddress, KeyValueServer(store).handler)
        engines.forEach { Http.serve(it, ::answer) }
        Http.serve(plain, ::answer)
        register()
        repeat(RETAINERS) { startRetainer(it) }
        val first = startHome("h0", homes[0], engines[0])
        startGateway()
        val before = play(0 until turns / 2)
        startHome("h1", homes[1], engines[1])
        first.stop()
        val result = before + play(turns / 2 until turns)
        JettyClient()(Request(Method.GET, "http://$metrics/metrics"))
        return result
    }

    private suspend fun register() {
        val configuration = SampleDocuments.configuration(HOST, "/turns/", ENGINES, "/calls/", PLAIN)
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
        store.put(StoreKeys.UPSTREAMS + "a1", SampleDocuments.upstreamEntry(PLAIN, plain, PLACE), Revision.ABSENT)
    }

    private fun answer(request: Request): Response {
        val headers = SampleDocuments.answerHeaders(request.headers.map { it.first to it.second.orEmpty() })
        val head = headers.fold(Response(Status.OK)) { response, (name, value) -> response.header(name, value) }
        if (request.uri.path.startsWith("/calls/")) return head.body("done")
        lastPrompt = request.bodyString()
        val events = (1..EVENTS).joinToString("") { "id: $it\ndata: word$it\n\n" }
        return head.header("Content-Type", "text/event-stream").body(events)
    }

    private suspend fun startRetainer(number: Int) {
        val settings = settings("r$number", free(), engine = null)
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
                UpstreamClient()::exchange,
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
                UpstreamClient()::exchange,
                runtime.metrics.registry,
            )
        scope.launch { gateway.run() }
        scope.launch { runtime.serveMetrics(metrics.port, startDelay = Duration.ZERO) }
        CallerServer(callers, gateway::limits, Dispatchers.Default, gateway::serve).start()
    }

    private suspend fun play(turns: IntRange): RehearsalResult {
        val client = JettyClient()
        var wholeTurns = 0
        var wholeCalls = 0
        for (number in turns) {
            val turn =
                untilServed {
                    client(
                        request(
                            "/turns/1",
                            SampleDocuments.turnHeaders("t$number-$it", "p", previous),
                            "input$number;",
                        ),
                    )
                }
            // What is wrong with one turn is wrong with the next ones; the build need not wait for them.
            if (turn == null) break
            wholeTurns++
            previous = turn.header("X-Request-Id")
            val call = untilServed { client(request("/calls/1", SampleDocuments.callHeaders("c$number-$it"), "")) }
            if (call?.bodyString() == "done") wholeCalls++
        }
        return RehearsalResult(wholeTurns, wholeCalls, lastPrompt)
    }

    /** Sends a request again while the daemons start. */
    private suspend fun untilServed(send: (attempt: Int) -> Response): Response? {
        repeat(ATTEMPTS) { attempt ->
            val response = send(attempt)
            if (response.status == Status.OK) return response
            delay(RETRY)
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
        const val HOST = "rehearsal.example"
        const val PLACE = "here"
        const val ENGINES = "engines"
        const val PLAIN = "plain"
        const val RETAINERS = 2
        const val HOMES = 2
        const val EVENTS = 5
        const val ATTEMPTS = 20
        val RETRY = 100.milliseconds

        /** The same port on each host with an engine; links are served at one port on all hosts. */
        fun hosts(port: Int): List<Address> = List(HOMES) { Address("127.0.0.${it + 1}", port) }

        /** An address on loopback that nobody listens at. */
        fun free(): Address = ServerSocket(0).use { Address("127.0.0.1", it.localPort) }
    }
}
