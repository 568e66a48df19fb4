package sycamore.gateway

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.http4k.client.JettyClient
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import sycamore.forwarding.AnswerEvent
import sycamore.forwarding.CallerServer
import sycamore.forwarding.UpstreamException
import sycamore.forwarding.UpstreamRequest
import sycamore.links.LinkException
import sycamore.model.Address
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName
import sycamore.platform.HostSettings
import sycamore.platform.PlatformBounds
import sycamore.platform.SampleDocuments
import sycamore.platform.StoreKeys
import sycamore.platform.StoreSettings
import sycamore.services.Revision
import sycamore.standins.KeyValueStore
import sycamore.turns.HomeEntry
import sycamore.turns.HomeKeys
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What callers see of the gateway, over loopback. It waits for answers, and asserts nothing about how long they take. */
class GatewayTest {
    private val store = KeyValueStore()
    private val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    private val callers = Address("127.0.0.1", ServerSocket(0).use { it.localPort })
    private val sent = CopyOnWriteArrayList<Address>()

    /** What the upstream that is called does; the number counts calls from 0. */
    @Volatile
    private var upstream: (
        number: Int,
        request: UpstreamRequest,
    ) -> Flow<AnswerEvent> = { _, request -> whole(request) }

    private lateinit var server: CallerServer

    @AfterTest
    fun stop() {
        scope.cancel()
        server.close()
    }

    @Test
    fun `no route is missing before a configuration is known`() =
        gateway(isConfigured = false) {
            val response = send("/nowhere", "a")
            assertEquals(503, response.status.code)
            assertNotNull(response.header("Retry-After"))
        }

    @Test
    fun `a path without a route is not found`() = gateway { assertEquals(404, send("/nowhere", "a").status.code) }

    @Test
    fun `a call is answered by an upstream`() =
        gateway {
            val response = send("/calls/1", "a")
            assertEquals(200 to "done", response.status.code to response.bodyString())
            assertEquals("a", response.header("X-Request-Id"))
        }

    @Test
    fun `a call whose answer was lost is repeated elsewhere if it may be`() =
        gateway {
            upstream = { number, request -> if (number == 0) lost() else whole(request) }
            assertEquals(200, send("/calls/1", "a").status.code)
            assertEquals(2, sent.distinct().size)
        }

    @Test
    fun `a call that may not be repeated is sent once, and not told as not run`() =
        gateway(isIdempotent = false) {
            upstream = { _, _ -> lost() }
            assertEquals(502, send("/calls/1", "a").status.code)
            assertEquals(1, sent.size)
        }

    @Test
    fun `a call that the upstream has not run is sent elsewhere, whatever its kind`() =
        gateway(isIdempotent = false) {
            upstream =
                { number, request ->
                    if (number ==
                        0
                    ) {
                        answer(request, 429, SampleDocuments.notRunHeader)
                    } else {
                        whole(request)
                    }
                }
            assertEquals(200, send("/calls/1", "a").status.code)
            assertEquals(2, sent.size)
        }

    @Test
    fun `a call that no upstream has run is refused with a time to come back`() =
        gateway(isIdempotent = false) {
            upstream = { _, request -> answer(request, 429, SampleDocuments.notRunHeader) }
            val response = send("/calls/1", "a")
            assertEquals(503, response.status.code)
            assertNotNull(response.header("Retry-After"))
        }

    @Test
    fun `the answer to another call never reaches a caller`() =
        gateway(isIdempotent = false) {
            upstream = { _, request -> whole(request, id = "another") }
            assertEquals(502, send("/calls/1", "a").status.code)
        }

    @Test
    fun `an answer without a signature is not passed on as a success`() =
        gateway(isIdempotent = false) {
            upstream = { _, _ -> flow { emit(AnswerEvent.Head(200, listOf("X-Request-Id" to "a"))) } }
            assertEquals(502, send("/calls/1", "a").status.code)
        }

    /** The list of upstreams may tell it later, or not at all while the store is away (DRAIN). */
    @Test
    fun `an upstream whose answer says that it leaves gets no further call`() =
        gateway {
            upstream = { _, request -> answer(request, 200, SampleDocuments.leavingHeader) }
            assertEquals(200, send("/calls/1", "a").status.code)
            upstream = { _, request -> whole(request) }
            repeat(5) { assertEquals(200, send("/calls/1", "b$it").status.code) }
            assertEquals(1, sent.count { it == sent.first() }, "found calls to $sent")
        }

    @Test
    fun `a refusal that says that the upstream leaves counts too`() =
        gateway {
            upstream =
                { number, request ->
                    if (number == 0) leavingRefusal(request) else whole(request)
                }
            repeat(5) { assertEquals(200, send("/calls/1", "b$it").status.code) }
            assertEquals(1, sent.count { it == sent.first() }, "found calls to $sent")
        }

    private fun leavingRefusal(request: UpstreamRequest): Flow<AnswerEvent> =
        flow {
            val headers =
                SampleDocuments.answerHeaders(request.headers) + SampleDocuments.notRunHeader +
                    SampleDocuments.leavingHeader
            emit(AnswerEvent.Head(503, headers))
            emit(AnswerEvent.End(isFramed = true))
        }

    @Test
    fun `a turn whose program's home cannot be told is refused as not run`() =
        gateway {
            val home = HomeId.parse("here.h1.0123456789ab")!!
            store.put(HomeKeys.key(home), HomeKeys.encode(HomeEntry(home, Address("10.0.0.9", 1))), Revision.ABSENT)
            val response = send("/turns/1", "a", SampleDocuments.turnHeaders("a", "p", "before"))
            assertEquals(503, response.status.code)
            assertTrue(sent.isEmpty(), "found calls to $sent")
        }

    private fun gateway(
        isConfigured: Boolean = true,
        isIdempotent: Boolean = true,
        test: suspend () -> Unit,
    ) = runBlocking {
        if (isConfigured) {
            val document = SampleDocuments.configuration(HOST, "/turns/", "engines", "/calls/", "plain", isIdempotent)
            store.put(StoreKeys.CONFIGURATION, document, Revision.ABSENT)
        }
        repeat(2) {
            val entry = SampleDocuments.upstreamEntry("plain", Address("10.0.0.$it", 80), "here")
            store.put(StoreKeys.UPSTREAMS + "u$it", entry, Revision.ABSENT)
        }
        val gateway =
            Gateway(
                settings,
                store,
                { to, _ -> throw LinkException("$to is down", sent = false) },
                ::call,
                SimpleMeterRegistry(),
            )
        scope.launch { gateway.run() }
        server = CallerServer(callers, gateway::limits, Dispatchers.Default, gateway::serve).start()
        while (isConfigured && !gateway.isReady) delay(10.milliseconds)
        test()
    }

    private fun send(
        path: String,
        id: String,
        headers: List<Pair<String, String>> = SampleDocuments.callHeaders(id),
    ): Response {
        val bare = Request(Method.POST, "http://$callers$path").header("Host", HOST)
        return JettyClient()(headers.fold(bare) { request, (name, value) -> request.header(name, value) })
    }

    private fun call(request: UpstreamRequest): Flow<AnswerEvent> {
        val number = sent.size
        sent += request.address
        return upstream(number, request)
    }

    private fun whole(
        request: UpstreamRequest,
        id: String? = null,
    ): Flow<AnswerEvent> =
        flow {
            val own = SampleDocuments.answerHeaders(request.headers)
            emit(
                AnswerEvent.Head(
                    200,
                    if (id ==
                        null
                    ) {
                        own
                    } else {
                        own.map { (name, value) -> name to if (value == "a") id else value }
                    },
                ),
            )
            emit(AnswerEvent.Bytes("done".encodeToByteArray()))
            emit(AnswerEvent.End(isFramed = true))
        }

    private fun answer(
        request: UpstreamRequest,
        status: Int,
        header: Pair<String, String>,
    ): Flow<AnswerEvent> =
        flow {
            emit(AnswerEvent.Head(status, SampleDocuments.answerHeaders(request.headers) + header))
            emit(AnswerEvent.End(isFramed = true))
        }

    private fun lost(): Flow<AnswerEvent> = flow { throw UpstreamException("the connection was closed", sent = true) }

    private companion object {
        const val HOST = "gateway.example"

        val settings =
            HostSettings(
                name = HostName("g1"),
                place = Place(PlaceName("here"), RegionName("here")),
                places = persistentMapOf(),
                ip = "127.0.0.1",
                firstPort = 1,
                lastPort = 1,
                callers = null,
                readinessAddress = null,
                upstream = null,
                dataDirectory = null,
                maxLostDisks = 1,
                bounds = PlatformBounds(2.5.seconds, 8.seconds, 2.5.seconds, 1.seconds),
                store = StoreSettings(Address("127.0.0.1", 1), 400.0, 2000.0, 1 shl 20),
                memoryMib = 256,
                contracts = persistentListOf(),
            )
    }
}
