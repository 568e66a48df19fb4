package sycamore.gateway

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.testTimeSource
import sycamore.forwarding.CallerServer
import sycamore.forwarding.PlannedStop
import sycamore.forwarding.ResponseEvent
import sycamore.forwarding.UpstreamRequest
import sycamore.links.LinkException
import sycamore.model.Address
import sycamore.platform.SampleDocuments
import sycamore.platform.StoreKeys
import sycamore.services.Revision
import sycamore.standins.KeyValueStore
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.ConcurrentHashMap
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against requests that a gateway takes while it stops as planned, and cuts off at the end of its grace period
 * without an answer. Callers use bare sockets; the time of the stop is virtual.
 */
class StoppingGatewayTest {
    private val test = TestScope()
    private val stop = PlannedStop({ GRACE_PERIOD }, test.testTimeSource)
    private val store = KeyValueStore()
    private val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    private val callers = Address("127.0.0.1", ServerSocket(0).use { it.localPort })
    private val calls = ConcurrentHashMap<String, UpstreamCall>()
    private val sockets = ArrayList<Socket>()
    private lateinit var server: CallerServer

    /** A call that has reached an upstream. It answers with the events in the order in which they are sent. */
    private class UpstreamCall(
        val request: UpstreamRequest,
    ) {
        val answer = CompletableDeferred<List<ResponseEvent>>()
    }

    @AfterTest
    fun end() {
        sockets.forEach(Socket::close)
        scope.cancel()
        server.close()
    }

    /** Such a caller sent its next request on the connection, which was passed on however late it came. */
    @Test
    fun `an answer to a request that began before the stop announces that its connection closes`() =
        gateway {
            val caller = connect()
            caller.send("a")
            awaitCall("a")
            beginStop()
            advance(4.seconds)
            complete("a")
            val response = caller.readResponse()
            assertContains(response, "HTTP/1.1 200 OK\r\n")
            assertContains(response, CONNECTION_CLOSE)
            assertEquals("", caller.readResponse())
        }

    /** The head of a stream was sent before the stop, so that nothing tells its caller that the connection closes. */
    @Test
    fun `a request that follows a stream late in the stop is refused as not run and its connection closed`() =
        gateway(isStreaming = true) {
            val callers = (1..CALLERS).map { connect() }
            callers.forEachIndexed { index, caller ->
                caller.send("a$index")
                awaitCall("a$index").answer.complete(listOf(head("a$index")))
                caller.readHead()
            }
            beginStop()
            advance(4.seconds)
            callers.forEachIndexed { index, caller ->
                finish("a$index")
                caller.readChunks()
                caller.send("b$index")
                val response = caller.readResponse()
                assertContains(response, "HTTP/1.1 503 ")
                assertContains(response, "Retry-After: ", ignoreCase = true)
                assertContains(response, CONNECTION_CLOSE)
                assertEquals("", caller.readResponse())
                assertFalse(calls.containsKey("b$index"), "b$index was passed on")
            }
        }

    @Test
    fun `a request whose time limit ends within the stop is served late in it`() =
        gateway(isStreaming = true) {
            val caller = connect()
            caller.send("a")
            awaitCall("a").answer.complete(listOf(head("a")))
            caller.readHead()
            beginStop()
            advance(4.seconds)
            finish("a")
            caller.readChunks()
            caller.send("b", timeLimit = 2.seconds)
            awaitCall("b").answer.complete(listOf(head("b")))
            finish("b")
            assertContains(caller.readHead(), CONNECTION_CLOSE)
            assertTrue(caller.readChunks().endsWith(LAST_CHUNK))
        }

    @Test
    fun `a request that comes before callers have left is served, within the time that the stop leaves`() =
        gateway {
            beginStop()
            advance(1.seconds)
            val caller = connect()
            caller.send("a")
            val headers = awaitCall("a").request.headers
            val limit = headers.single { it.first == "X-Deadline-Ms" }.second.toLong()
            assertTrue(limit <= stop.timeLeft.inWholeMilliseconds, "found $limit")
            complete("a")
            assertContains(caller.readResponse(), "HTTP/1.1 200 OK\r\n")
        }

    @Test
    fun `a call that may have run is answered with 504 before the process ends`() =
        gateway {
            val caller = connect()
            caller.send("a")
            awaitCall("a")
            val steps = beginStop()
            advanceToFinalAnswers()
            val response = caller.readResponse()
            assertContains(response, "HTTP/1.1 504 ")
            assertContains(response, CONNECTION_CLOSE)
            awaitEnd(steps)
        }

    @Test
    fun `a request whose body is still arriving is refused as not run before the process ends`() =
        gateway {
            val caller = connect()
            caller.send("a", headers = "Content-Length: 10\r\nExpect: 100-continue\r\n")
            assertContains(caller.readHead(), "HTTP/1.1 100 ")
            val steps = beginStop()
            advanceToFinalAnswers()
            val response = caller.readResponse()
            assertContains(response, "HTTP/1.1 503 ")
            assertContains(response, "Retry-After: ", ignoreCase = true)
            awaitEnd(steps)
        }

    @Test
    fun `a stream in progress is broken off before the process ends`() =
        gateway(isStreaming = true) {
            val caller = connect()
            caller.send("a")
            awaitCall("a").answer.complete(listOf(head("a")))
            caller.readHead()
            val steps = beginStop()
            advanceToFinalAnswers()
            assertFalse(caller.readChunks().endsWith(LAST_CHUNK))
            awaitEnd(steps)
        }

    @Test
    fun `a call that an upstream refused late in the stop is not sent to another one`() =
        gateway(upstreams = 2) {
            val caller = connect()
            caller.send("a")
            awaitCall("a")
            beginStop()
            advance(4.seconds)
            val headers = listOf("X-Request-Id" to "a", SampleDocuments.notRunHeader)
            calls.remove("a")!!.answer.complete(listOf(ResponseEvent.Head(429, headers), ResponseEvent.End))
            assertContains(caller.readResponse(), "HTTP/1.1 503 ")
            assertFalse(calls.containsKey("a"), "the call was sent to another upstream")
        }

    @Test
    fun `a request that is sent before the answer to the previous one is not passed on late in the stop`() =
        gateway {
            val caller = connect()
            caller.send("a")
            awaitCall("a")
            beginStop()
            advance(4.seconds)
            caller.send("b")
            complete("a")
            assertContains(caller.readResponse(), CONNECTION_CLOSE)
            assertEquals("", caller.readResponse())
            assertFalse(calls.containsKey("b"), "b was passed on")
        }

    private fun gateway(
        isStreaming: Boolean = false,
        upstreams: Int = 1,
        test: suspend () -> Unit,
    ) = runBlocking {
        val configuration =
            SampleDocuments
                .configuration(
                    HOST,
                    "/turns/",
                    "engines",
                    "/calls/",
                    "plain",
                    isIdempotent = false,
                    isStreaming = isStreaming,
                ).decodeToString()
                .replace("\"timeout_ms\":5000", "\"timeout_ms\":600000")
        store.put(StoreKeys.CONFIGURATION, configuration.encodeToByteArray(), Revision.ABSENT)
        repeat(upstreams) {
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
                stop,
                this@StoppingGatewayTest.test.testTimeSource,
            )
        scope.launch { gateway.run() }
        server =
            CallerServer(CallerServer.listen(callers), gateway::limits, Dispatchers.Default, gateway::serve).start()
        while (!gateway.isReady) delay(10.milliseconds)
        test()
    }

    private fun call(request: UpstreamRequest): Flow<ResponseEvent> =
        flow {
            val id = request.headers.single { it.first == "X-Request-Id" }.second
            while (true) {
                val call = calls.computeIfAbsent(id) { UpstreamCall(request) }
                val events = call.answer.await()
                calls.remove(id, call)
                events.forEach { emit(it) }
                if (events.last() is ResponseEvent.End) break
            }
        }

    private fun head(id: String): ResponseEvent =
        ResponseEvent.Head(200, listOf("X-Request-Id" to id, "X-Server-Stamp" to "s"))

    private suspend fun complete(id: String) {
        awaitCall(id).answer.complete(
            listOf(head(id), ResponseEvent.Bytes("done".encodeToByteArray()), ResponseEvent.End),
        )
    }

    /** Ends the answer of the upstream to [id], of which it has sent the head. */
    private suspend fun finish(id: String) {
        awaitCall(id).answer.complete(listOf(ResponseEvent.Bytes("done".encodeToByteArray()), ResponseEvent.End))
    }

    private suspend fun awaitCall(id: String): UpstreamCall {
        while (true) {
            calls[id]?.takeIf { !it.answer.isCompleted }?.let { return it }
            delay(1.milliseconds)
        }
    }

    private fun beginStop(): Job {
        val steps = test.launch { stop.run { server.drain(stop) } }
        test.testScheduler.runCurrent()
        return steps
    }

    private fun advance(duration: Duration) {
        test.testScheduler.advanceTimeBy(duration)
        test.testScheduler.runCurrent()
    }

    private fun advanceToFinalAnswers() = advance(stop.timeLeft)

    /** Waits until all connections are closed and [steps] have ended, with the time that is left for it. */
    private suspend fun awaitEnd(steps: Job) {
        while (steps.isActive) {
            delay(1.milliseconds)
            advance(20.milliseconds)
        }
    }

    private fun connect(): Caller = Caller(Socket(callers.ip, callers.port).also(sockets::add))

    /** A caller that keeps its connection open. */
    private class Caller(
        private val socket: Socket,
    ) {
        init {
            socket.soTimeout = READ_TIMEOUT_MILLIS
        }

        fun send(
            id: String,
            timeLimit: Duration = 300.seconds,
            headers: String = "Content-Length: 0\r\n",
        ) {
            val request =
                "POST /calls/1 HTTP/1.1\r\nHost: $HOST\r\n$headers" +
                    "X-Request-Id: $id\r\nX-Deadline-Ms: ${timeLimit.inWholeMilliseconds}\r\n\r\n"
            socket.getOutputStream().write(request.encodeToByteArray())
        }

        fun readHead(): String = readUntil { it.endsWith("\r\n\r\n") }

        fun readChunks(): String = readUntil { it.endsWith(LAST_CHUNK) }

        /** Reads a response with a length. Returns an empty text if the connection is closed instead. */
        fun readResponse(): String =
            readUntil {
                val head = it.indexOf("\r\n\r\n")
                val length = contentLength.find(it)?.let { match -> match.groupValues[1].toInt() } ?: 0
                head >= 0 && it.length - head - "\r\n\r\n".length >= length
            }

        private fun readUntil(isComplete: (String) -> Boolean): String {
            val text = StringBuilder()
            try {
                while (!isComplete(text.toString())) {
                    val byte = socket.getInputStream().read()
                    if (byte < 0) break
                    text.append(byte.toChar())
                }
            } catch (_: SocketTimeoutException) {
                throw AssertionError("no end of the response after $text")
            } catch (_: IOException) {
                // The gateway has reset the connection.
            }
            return text.toString()
        }
    }

    private companion object {
        const val HOST = "gateway.example"
        const val CONNECTION_CLOSE = "Connection: close\r\n"
        const val LAST_CHUNK = "0\r\n\r\n"
        const val CALLERS = 20
        const val READ_TIMEOUT_MILLIS = 10_000
        val GRACE_PERIOD = 8.seconds
        val contentLength = Regex("(?i)content-length: *([0-9]+)")
    }
}
