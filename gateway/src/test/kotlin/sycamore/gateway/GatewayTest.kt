package sycamore.gateway

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
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
import sycamore.forwarding.CallerServer
import sycamore.forwarding.ResponseEvent
import sycamore.forwarding.UpstreamException
import sycamore.forwarding.UpstreamRequest
import sycamore.links.LinkException
import sycamore.model.Address
import sycamore.model.HomeId
import sycamore.platform.SampleDocuments
import sycamore.platform.StoreKeys
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

/**
 * Guards against a gateway that repeats a non-idempotent call which may have run, or reports it as not run. Callers use
 * it over loopback. The tests wait for answers and assert nothing about their
 * duration.
 */
class GatewayTest {
    private val store = KeyValueStore()
    private val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    private val callers = Address("127.0.0.1", ServerSocket(0).use { it.localPort })
    private val sent = CopyOnWriteArrayList<Address>()

    /** The behaviour of the upstreams at each call. The index counts the calls from 0. */
    @Volatile
    private var upstream: (
        index: Int,
        request: UpstreamRequest,
    ) -> Flow<ResponseEvent> = { _, request -> complete(request) }

    private lateinit var server: CallerServer

    @AfterTest
    fun stop() {
        scope.cancel()
        server.close()
    }

    @Test
    fun `a call before a configuration is known is refused with a retry time, not as unknown`() =
        gateway(isConfigured = false) {
            val response = send("/nowhere", "a")
            assertEquals(503, response.status.code)
            assertNotNull(response.header("Retry-After"))
        }

    /** After a power failure all callers connect again while the gateways start. A refusal uses up one of few attempts. */
    @Test
    fun `a call that arrives while the gateway starts is served once the configuration is read`() =
        gateway(isConfigured = false) {
            val response = scope.async { send("/calls/1", "a") }
            delay(100.milliseconds)
            configure(isIdempotent = true)
            assertEquals(200, response.await().status.code)
        }

    @Test
    fun `a path without a route is answered with 404`() =
        gateway { assertEquals(404, send("/nowhere", "a").status.code) }

    @Test
    fun `a call is answered by an upstream`() =
        gateway {
            val response = send("/calls/1", "a")
            assertEquals(200 to "done", response.status.code to response.bodyString())
            assertEquals("a", response.header("X-Request-Id"))
        }

    @Test
    fun `an idempotent call whose answer was lost is repeated at another upstream`() =
        gateway {
            upstream = { index, request -> if (index == 0) lostAnswer() else complete(request) }
            assertEquals(200, send("/calls/1", "a").status.code)
            assertEquals(2, sent.distinct().size)
        }

    @Test
    fun `a call that may not be repeated is sent once, and its failure is not reported as not run`() =
        gateway(isIdempotent = false) {
            upstream = { _, _ -> lostAnswer() }
            assertEquals(502, send("/calls/1", "a").status.code)
            assertEquals(1, sent.size)
        }

    @Test
    fun `a call that the upstream did not run is sent to another one, even if it is not idempotent`() =
        gateway(isIdempotent = false) {
            upstream =
                { index, request ->
                    if (index ==
                        0
                    ) {
                        reply(request, 429, SampleDocuments.notRunHeader)
                    } else {
                        complete(request)
                    }
                }
            assertEquals(200, send("/calls/1", "a").status.code)
            assertEquals(2, sent.size)
        }

    @Test
    fun `a call that no upstream ran is refused with a retry time`() =
        gateway(isIdempotent = false) {
            upstream = { _, request -> reply(request, 429, SampleDocuments.notRunHeader) }
            val response = send("/calls/1", "a")
            assertEquals(503, response.status.code)
            assertNotNull(response.header("Retry-After"))
        }

    @Test
    fun `an answer without a signature is not forwarded as a success`() =
        gateway(isIdempotent = false) {
            upstream = { _, _ -> flow { emit(ResponseEvent.Head(200, listOf("X-Request-Id" to "a"))) } }
            assertEquals(502, send("/calls/1", "a").status.code)
        }

    /** The list of upstreams may contain this later, or not at all during an outage of the store (drain rule). */
    @Test
    fun `an upstream whose answer announces that it is leaving gets no further calls`() =
        gateway {
            upstream = { _, request -> reply(request, 200, SampleDocuments.leavingHeader) }
            assertEquals(200, send("/calls/1", "a").status.code)
            upstream = { _, request -> complete(request) }
            repeat(5) { assertEquals(200, send("/calls/1", "b$it").status.code) }
            assertEquals(1, sent.count { it == sent.first() }, "found calls to $sent")
        }

    @Test
    fun `an upstream whose refusal announces that it is leaving gets no further calls`() =
        gateway {
            upstream =
                { index, request ->
                    if (index == 0) leavingRefusal(request) else complete(request)
                }
            repeat(5) { assertEquals(200, send("/calls/1", "b$it").status.code) }
            assertEquals(1, sent.count { it == sent.first() }, "found calls to $sent")
        }

    private fun leavingRefusal(request: UpstreamRequest): Flow<ResponseEvent> =
        flow {
            val headers =
                SampleDocuments.answerHeaders(request.headers) + SampleDocuments.notRunHeader +
                    SampleDocuments.leavingHeader
            emit(ResponseEvent.Head(503, headers))
            emit(ResponseEvent.End)
        }

    @Test
    fun `a turn of a program whose home cannot be determined is refused as not run`() =
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
        if (isConfigured) configure(isIdempotent)
        repeat(2) {
            val entry = SampleDocuments.upstreamEntry("plain", Address("10.0.0.$it", 80), "here")
            store.put(StoreKeys.UPSTREAMS + "u$it", entry, Revision.ABSENT)
        }
        val gateway =
            Gateway(
                GatewayFixture.settings,
                store,
                { to, _ -> throw LinkException("$to is down", sent = false) },
                ::call,
                SimpleMeterRegistry(),
            )
        scope.launch { gateway.run() }
        server =
            CallerServer(CallerServer.listen(callers), gateway::limits, Dispatchers.Default, gateway::serve).start()
        while (isConfigured && !gateway.isReady) delay(10.milliseconds)
        test()
    }

    private suspend fun configure(isIdempotent: Boolean) {
        val document = SampleDocuments.configuration(HOST, "/turns/", "engines", "/calls/", "plain", isIdempotent)
        store.put(StoreKeys.CONFIGURATION, document, Revision.ABSENT)
    }

    private fun send(
        path: String,
        id: String,
        headers: List<Pair<String, String>> = SampleDocuments.callHeaders(id),
    ): Response {
        val bare = Request(Method.POST, "http://$callers$path").header("Host", HOST)
        return JettyClient()(headers.fold(bare) { request, (name, value) -> request.header(name, value) })
    }

    private fun call(request: UpstreamRequest): Flow<ResponseEvent> {
        val index = sent.size
        sent += request.address
        return upstream(index, request)
    }

    private fun complete(request: UpstreamRequest): Flow<ResponseEvent> =
        flow {
            emit(ResponseEvent.Head(200, SampleDocuments.answerHeaders(request.headers)))
            emit(ResponseEvent.Bytes("done".encodeToByteArray()))
            emit(ResponseEvent.End)
        }

    private fun reply(
        request: UpstreamRequest,
        status: Int,
        header: Pair<String, String>,
    ): Flow<ResponseEvent> =
        flow {
            emit(ResponseEvent.Head(status, SampleDocuments.answerHeaders(request.headers) + header))
            emit(ResponseEvent.End)
        }

    private fun lostAnswer(): Flow<ResponseEvent> =
        flow {
            throw UpstreamException("the connection was closed", sent = true)
        }

    private companion object {
        const val HOST = "gateway.example"
    }
}
