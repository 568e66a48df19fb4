package sycamore.gateway

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.http4k.client.JettyClient
import org.http4k.core.Method
import org.http4k.core.Request
import sycamore.forwarding.CallerServer
import sycamore.forwarding.UpstreamClient
import sycamore.links.LinkException
import sycamore.model.Address
import sycamore.platform.SampleDocuments
import sycamore.platform.StoreKeys
import sycamore.services.Revision
import sycamore.standins.KeyValueStore
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** Guards against a call that was never sent and is answered as one that may have run, which its caller cannot repeat. */
class UnsentCallsTest {
    private val store = KeyValueStore()
    private val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    private val callers = Address("127.0.0.1", ServerSocket(0).use { it.localPort })

    /** Accepts no connection. */
    private val upstream = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private val pending = ArrayList<Socket>()
    private val client = UpstreamClient(SimpleMeterRegistry(), connectTimeout = 1.minutes)
    private lateinit var server: CallerServer

    @AfterTest
    fun stop() {
        scope.cancel()
        server.close()
        client.close()
        pending.forEach(Socket::close)
        upstream.close()
    }

    @Test
    fun `a call whose connection is not established in its time is answered as not run`() =
        runBlocking<Unit> {
            fillAcceptQueue()
            start()
            val request =
                Request(Method.POST, "http://$callers/calls/1")
                    .header("Host", HOST)
                    .header("X-Request-Id", "a")
                    .header("X-Deadline-Ms", "500")
            val response = JettyClient()(request)
            assertEquals(503, response.status.code, response.bodyString())
            assertNotNull(response.header("Retry-After"))
        }

    /** Connects until the kernel answers no further connection, so that the next one stays unestablished. */
    private fun fillAcceptQueue() {
        try {
            while (true) {
                val socket = Socket().also(pending::add)
                socket.connect(InetSocketAddress(upstream.inetAddress, upstream.localPort), CONNECT_TIMEOUT_MILLIS)
            }
        } catch (_: SocketTimeoutException) {
            // The queue is full.
        }
    }

    private suspend fun start() {
        val configuration =
            SampleDocuments.configuration(HOST, "/turns/", "engines", "/calls/", "plain", isIdempotent = false)
        store.put(StoreKeys.CONFIGURATION, configuration, Revision.ABSENT)
        val address = Address("127.0.0.1", upstream.localPort)
        val entry = SampleDocuments.upstreamEntry("plain", address, "here")
        store.put(StoreKeys.UPSTREAMS + "u", entry, Revision.ABSENT)
        val gateway =
            Gateway(
                GatewayFixture.settings,
                store,
                { to, _ -> throw LinkException("$to is down", sent = false) },
                client::exchange,
                SimpleMeterRegistry(),
            )
        scope.launch { gateway.run() }
        server =
            CallerServer(CallerServer.listen(callers), gateway::limits, Dispatchers.Default, gateway::serve).start()
        while (!gateway.isReady) delay(10.milliseconds)
    }

    private companion object {
        const val HOST = "gateway.example"
        const val CONNECT_TIMEOUT_MILLIS = 200
    }
}
