package sycamore.rehearsal

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
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
import sycamore.model.HostName
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName
import sycamore.platform.HostSettings
import sycamore.platform.PlatformBounds
import sycamore.platform.SampleDocuments
import sycamore.platform.StoreKeys
import sycamore.platform.StoreSettings
import sycamore.retainer.RetainerDaemon
import sycamore.services.Revision
import sycamore.standins.KeyValueServer
import sycamore.standins.KeyValueStore
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a [Rehearsal] saw. */
data class RehearsalResult(
    val wholeTurns: Int,
    val wholeCalls: Int,
    val lastPrompt: String,
)

/** A gateway, a home, two retainers, an engine and a store in this process, on loopback. */
class Rehearsal(
    private val scope: CoroutineScope,
    private val folder: Path,
) {
    private val store = KeyValueStore()
    private val storeAddress = free()
    private val engine = free()
    private val plain = free()
    private val home = free()
    private val callers = free()

    @Volatile
    private var lastPrompt = ""

    /** Starts all daemons, sends [turns] turns of one program and as many plain calls, and returns what came of them. */
    suspend fun run(turns: Int): RehearsalResult {
        Http.serve(storeAddress, KeyValueServer(store).handler)
        Http.serve(engine, ::answer)
        Http.serve(plain, ::answer)
        register()
        repeat(RETAINERS) { startRetainer(it) }
        startHome()
        startGateway()
        return play(turns)
    }

    private suspend fun register() {
        val configuration = SampleDocuments.configuration(HOST, "/turns/", ENGINES, "/calls/", PLAIN)
        store.put(StoreKeys.CONFIGURATION, configuration, Revision.ABSENT)
        store.put(StoreKeys.UPSTREAMS + "e1", SampleDocuments.upstream(ENGINES, engine, PLACE), Revision.ABSENT)
        store.put(StoreKeys.UPSTREAMS + "a1", SampleDocuments.upstream(PLAIN, plain, PLACE), Revision.ABSENT)
    }

    private fun answer(request: Request): Response {
        val headers = SampleDocuments.answer(request.headers.map { it.first to it.second.orEmpty() })
        val head = headers.fold(Response(Status.OK)) { response, (name, value) -> response.header(name, value) }
        if (request.uri.path.startsWith("/calls/")) return head.body("done")
        lastPrompt = request.bodyString()
        val events = (1..EVENTS).joinToString("") { "id: $it\ndata: word$it\n\n" }
        return head.header("Content-Type", "text/event-stream").body(events)
    }

    private suspend fun startRetainer(number: Int) {
        val settings = settings("r$number", free())
        val runtime = PlatformDaemon(settings)
        RetainerDaemon.start(settings, folder.resolve("r$number"), runtime, scope)
    }

    private suspend fun startHome() {
        val settings = settings("h1", home)
        val runtime = PlatformDaemon(settings)
        val daemon =
            HomeDaemon(
                settings,
                runtime.keys,
                runtime.links::exchange,
                UpstreamClient()::exchange,
                runtime.metrics.registry,
                scope.coroutineContext,
            )
        runtime.serveLinks(daemon::serve)
        scope.launch { daemon.run() }
    }

    private fun startGateway() {
        val settings = settings("g1", home)
        val runtime = PlatformDaemon(settings)
        val gateway =
            Gateway(
                settings,
                runtime.keys,
                runtime.links::exchange,
                UpstreamClient()::exchange,
                runtime.metrics.registry,
            )
        scope.launch { gateway.run() }
        CallerServer(callers, gateway::limits, Dispatchers.Default, gateway::serve).start()
    }

    private suspend fun play(turns: Int): RehearsalResult {
        val client = JettyClient()
        var wholeTurns = 0
        var wholeCalls = 0
        var previous: String? = null
        for (number in 1..turns) {
            val turn =
                untilServed {
                    client(
                        request("/turns/1", SampleDocuments.turn("t$number-$it", "p", previous), "input$number;"),
                    )
                }
            if (turn != null) {
                wholeTurns++
                previous = turn.header("X-Request-Id")
            }
            val call = untilServed { client(request("/calls/1", SampleDocuments.call("c$number-$it"), "")) }
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
    ) = HostSettings(
        name = HostName(name),
        place = Place(PlaceName(PLACE), RegionName(PLACE)),
        places = persistentMapOf(PlaceName(PLACE) to RegionName(PLACE)),
        ip = links.ip,
        firstPort = links.port,
        lastPort = links.port,
        callers = callers,
        readiness = null,
        upstream = engine,
        dataFolder = null,
        bounds = PlatformBounds(2.5.seconds, 8.seconds, 2.5.seconds, 1.seconds),
        store = StoreSettings(storeAddress, 400.0, 2000.0, 1 shl 20),
        memoryMib = 256,
        contracts = persistentListOf(),
    )

    private companion object {
        const val HOST = "rehearsal.example"
        const val PLACE = "here"
        const val ENGINES = "engines"
        const val PLAIN = "plain"
        const val RETAINERS = 2
        const val EVENTS = 5
        const val ATTEMPTS = 20
        val RETRY = 100.milliseconds

        /** An address on loopback that nobody listens at. */
        fun free(): Address = ServerSocket(0).use { Address("127.0.0.1", it.localPort) }
    }
}
