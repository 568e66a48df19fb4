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
import org.http4k.core.Response
import sycamore.forwarding.CallerServer
import sycamore.forwarding.UpstreamClient
import sycamore.links.LinkException
import sycamore.model.Address
import sycamore.platform.SampleDocuments
import sycamore.platform.StoreKeys
import sycamore.services.Revision
import sycamore.standins.KeyValueStore
import sycamore.standins.SocketRequest
import sycamore.standins.SocketUpstream
import java.io.OutputStream
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

/**
 * Guards against answers that are attributed to a request by their place on the connection. Upstreams on loopback write
 * the answer to an earlier request once more on a connection that is kept open. The tests count the runs of each call as
 * the upstreams see them.
 */
class MisattributedAnswersTest {
    private val store = KeyValueStore()
    private val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    private val callers = Address("127.0.0.1", ServerSocket(0).use { it.localPort })
    private val meters = SimpleMeterRegistry()
    private val client = UpstreamClient(meters)
    private val callerClient = JettyClient()
    private val upstreams = CopyOnWriteArrayList<SocketUpstream>()
    private val runs = ConcurrentHashMap<String, AtomicInteger>()
    private lateinit var server: CallerServer

    @AfterTest
    fun stop() {
        scope.cancel()
        server.close()
        client.close()
        upstreams.forEach { it.close() }
    }

    /** Guards against a call that runs, is refused with 503 and is sent to a second upstream. */
    @Test
    fun `a repeated refusal of an earlier call is no answer to a call that must run once`() =
        gateway(upstreams = 2, isIdempotent = false, { repeatBeforeNext(refusal(503)) }) {
            assertEquals(503, send("first").status.code)
            assertRunsOnceWithUnknownOutcome("second")
        }

    /** Guards against the same for 421, which states without a further header that the call was not run. */
    @Test
    fun `a repeated 421 to an earlier call is no answer to a call that must run once`() =
        gateway(upstreams = 2, isIdempotent = false, { repeatBeforeNext(refusal(421)) }) {
            assertEquals(503, send("first").status.code)
            assertRunsOnceWithUnknownOutcome("second")
        }

    /** Guards against a connection on which each call gets the answer to the call before it. */
    @Test
    fun `calls after a repeated refusal get their own answers`() =
        gateway(upstreams = 1, isIdempotent = false, { repeatWhileNextRuns(refusal(503)) }) {
            send("first")
            send("second")
            assertAnswered(10)
        }

    /** Guards against the same after an answer that is not a refusal. */
    @Test
    fun `calls after a repeated success get their own answers`() =
        gateway(upstreams = 1, isIdempotent = false, { repeatWhileNextRuns(::success) }) {
            assertEquals(200, send("first").status.code)
            assertRunsOnceWithUnknownOutcome("second")
            assertAnswered(10)
        }

    /** Guards against a connection that stays in use although bytes followed a complete answer. */
    @Test
    fun `calls after a refusal that is written twice at once get their own answers`() =
        gateway(upstreams = 1, isIdempotent = false, { repeatAtOnce(refusal(503)) }) {
            assertEquals(503, send("first").status.code)
            assertAnswered(10)
        }

    /** Guards against a call that fails because the rest of a discarded copy precedes its answer. */
    @Test
    fun `a call after the first part of a repeated refusal is answered`() =
        gateway(upstreams = 1, isIdempotent = false, { repeatFirstPart(refusal(503)) }) {
            assertEquals(503, send("first").status.code)
            assertAnswered(10)
        }

    /** Guards against a call that is sent on a connection on which its upstream wrote bytes of no answer. */
    @Test
    fun `a call after bytes that belong to no answer is answered`() =
        gateway(upstreams = 1, isIdempotent = false, { writeStrayBytes() }) {
            assertEquals(200, send("first").status.code)
            while (meters.counter("sycamore.upstream.stray.bytes").count() < 1) Thread.sleep(POLL_MILLIS)
            assertAnswered(10)
        }

    /** Guards against an idempotent call that fails although another upstream could serve it. */
    @Test
    fun `an idempotent call that gets the answer of another call is repeated at another upstream`() =
        gateway(upstreams = 2, isIdempotent = true, { if (it == 0) repeatBeforeNext(::success) else alwaysAnswer() }) {
            repeat(12) { assertEquals(200 to "ran c$it", send("c$it").let { r -> r.status.code to r.bodyString() }) }
        }

    /** Guards against a running call that a later copy of its predecessor's refusal reports as not run. */
    @Test
    fun `a refusal repeated while the next call runs is no answer to it`() =
        gateway(upstreams = 2, isIdempotent = false, { repeatWhileNextRuns(refusal(503)) }) {
            assertEquals(503, send("first").status.code)
            assertRunsOnceWithUnknownOutcome("second")
        }

    @Test
    fun `the answer to another call is never forwarded to a caller`() =
        gateway(upstreams = 2, isIdempotent = false, { answerAs("another") }) {
            assertEquals(502, send("first").status.code)
            assertEquals(1, requestCount)
        }

    /** Guards against a refusal that is believed although it may be that of an earlier call. */
    @Test
    fun `a refusal that names no call is no answer to a call that must run once`() =
        gateway(upstreams = 2, isIdempotent = false, { refuseWithoutId() }) {
            assertEquals(502, send("first").status.code)
            assertEquals(1, requestCount)
        }

    /** Writes the first answer and a part of its copy at once, and the rest of the copy before the next answer. */
    private fun repeatFirstPart(first: (SocketRequest) -> ByteArray): (SocketRequest, OutputStream) -> Unit {
        var rest = ByteArray(0)
        return { request, out ->
            if (requestCount == 1) {
                val answer = first(request)
                rest = answer.copyOfRange(PART_BYTES, answer.size)
                out.write(answer + answer.copyOf(PART_BYTES))
            } else {
                if (request.connection == 0) out.write(rest)
                out.write(success(request))
            }
        }
    }

    private fun writeStrayBytes(): (SocketRequest, OutputStream) -> Unit =
        { request, out ->
            out.write(success(request))
            if (requestCount == 1) {
                Thread.sleep(RUN_MILLIS)
                out.write("stray".encodeToByteArray())
            }
        }

    private val requestCount: Int get() = upstreams.sumOf { it.requests.size }

    private fun answerAs(id: String): (SocketRequest, OutputStream) -> Unit =
        { _, out ->
            val headers = SampleDocuments.answerHeaders(listOf("X-Request-Id" to id))
            out.write(SocketUpstream.response(200, headers, "ran"))
        }

    private fun refuseWithoutId(): (SocketRequest, OutputStream) -> Unit =
        { _, out -> out.write(SocketUpstream.response(503, listOf(SampleDocuments.notRunHeader), "full")) }

    /** Guards against a status of an upstream that ran the call, which its caller reads as the promise that it did not. */
    @Test
    fun `a refusal status without the statement that the call was not run is not passed on`() =
        gateway(
            upstreams = 2,
            isIdempotent = false,
            { runAndAnswer(503) },
        ) { assertRunsOnceWithUnknownOutcome("first") }

    @Test
    fun `an idempotent call with a refusal status is repeated at another upstream`() =
        gateway(upstreams = 2, isIdempotent = true, { if (it == 0) runAndAnswer(429) else alwaysAnswer() }) {
            assertAnswered(10)
        }

    /** Guards against a client that writes a call again by itself, or reports a written one as not sent. */
    @Test
    fun `a call that must run once is written once although its upstream closes kept connections`() =
        gateway(upstreams = 2, isIdempotent = false, { closeAfterEachAnswer() }) {
            repeat(50) { send("c$it") }
            val received = upstreams.flatMap { upstream -> upstream.requests.map { it.header("X-Request-Id") } }
            assertEquals(received.distinct(), received)
        }

    @Test
    fun `a call whose connection is closed without an answer is sent once`() =
        gateway(upstreams = 2, isIdempotent = false, { closeInsteadOfSecondAnswer() }) {
            val statuses = List(12) { send("c$it").status.code }
            assertEquals(12, requestCount)
            assertEquals(
                upstreams.sumOf { upstream -> upstream.requests.count { it.index == 1 } },
                statuses.count {
                    it ==
                        502
                },
            )
        }

    private fun closeAfterEachAnswer(): (SocketRequest, OutputStream) -> Unit =
        { request, out ->
            out.write(success(request))
            out.close()
        }

    private fun closeInsteadOfSecondAnswer(): (SocketRequest, OutputStream) -> Unit =
        { request, out -> if (request.index == 0) out.write(success(request)) else out.close() }

    private fun runAndAnswer(status: Int): (SocketRequest, OutputStream) -> Unit =
        { request, out ->
            success(request)
            out.write(SocketUpstream.response(status, answerHeaders(request), "failed"))
        }

    private fun assertRunsOnceWithUnknownOutcome(id: String) {
        val status = send(id).status.code
        assertEquals("502 after 1 run", "$status after ${runs[id]?.get() ?: 0} run")
    }

    private fun assertAnswered(count: Int) {
        val answers = List(count) { index -> send("next$index").let { "${it.status.code} ${it.bodyString()}" } }
        assertEquals(List(count) { "200 ran next$it" }, answers)
    }

    private fun alwaysAnswer(): (SocketRequest, OutputStream) -> Unit = { request, out -> out.write(success(request)) }

    /** Answers the first request with [first], and writes that answer again when the next request has been read. */
    private fun repeatBeforeNext(first: (SocketRequest) -> ByteArray): (SocketRequest, OutputStream) -> Unit =
        repeating(first) { request, out, earlier ->
            out.write(earlier)
            out.write(success(request))
        }

    private fun repeatWhileNextRuns(first: (SocketRequest) -> ByteArray): (SocketRequest, OutputStream) -> Unit =
        repeating(first) { request, out, earlier ->
            val answer = success(request)
            out.write(earlier)
            out.flush()
            Thread.sleep(RUN_MILLIS)
            out.write(answer)
        }

    private fun repeatAtOnce(first: (SocketRequest) -> ByteArray): (SocketRequest, OutputStream) -> Unit {
        val isFirst = AtomicBoolean(true)
        return { request, out ->
            out.write(if (isFirst.getAndSet(false)) first(request).let { it + it } else success(request))
        }
    }

    /** Answers the first request with [first], and the next one on its connection with [second], once. */
    private fun repeating(
        first: (SocketRequest) -> ByteArray,
        second: (request: SocketRequest, out: OutputStream, earlier: ByteArray) -> Unit,
    ): (SocketRequest, OutputStream) -> Unit {
        val answered = AtomicInteger()
        var earlier = ByteArray(0)
        return { request, out ->
            when (answered.getAndIncrement()) {
                0 -> out.write(first(request).also { earlier = it })
                1 -> second(request, out, earlier)
                else -> out.write(success(request))
            }
        }
    }

    private fun answerHeaders(request: SocketRequest) =
        SampleDocuments.answerHeaders(listOf("X-Request-Id" to request.header("X-Request-Id")))

    /** Runs the call of [request] and returns its answer. */
    private fun success(request: SocketRequest): ByteArray {
        val id = request.header("X-Request-Id")
        runs.getOrPut(id) { AtomicInteger() }.incrementAndGet()
        return SocketUpstream.response(200, answerHeaders(request), "ran $id")
    }

    private fun refusal(status: Int): (SocketRequest) -> ByteArray =
        {
            val notRun = listOf(SampleDocuments.notRunHeader).takeIf { status == 503 }.orEmpty()
            SocketUpstream.response(status, answerHeaders(it) + notRun, "full")
        }

    /** Runs [test] with a gateway before as many upstreams, each of which behaves as [behaviour] gives for its index. */
    private fun gateway(
        upstreams: Int,
        isIdempotent: Boolean,
        behaviour: (index: Int) -> (SocketRequest, OutputStream) -> Unit,
        test: () -> Unit,
    ) = runBlocking {
        val document = SampleDocuments.configuration(HOST, "/turns/", "engines", "/calls/", "plain", isIdempotent)
        store.put(StoreKeys.CONFIGURATION, document, Revision.ABSENT)
        repeat(upstreams) {
            val upstream = SocketUpstream(behaviour(it)).also(this@MisattributedAnswersTest.upstreams::add)
            val entry = SampleDocuments.upstreamEntry("plain", upstream.address, "here")
            store.put(StoreKeys.UPSTREAMS + "u$it", entry, Revision.ABSENT)
        }
        val noLinks = { to: Address, _: Any -> throw LinkException("$to is down", sent = false) }
        val gateway = Gateway(GatewayFixture.settings, store, noLinks, client::exchange, SimpleMeterRegistry())
        scope.launch { gateway.run() }
        server =
            CallerServer(CallerServer.listen(callers), gateway::limits, Dispatchers.Default, gateway::serve).start()
        while (!gateway.isReady) delay(10.milliseconds)
        test()
    }

    private fun send(id: String): Response {
        val bare = Request(Method.POST, "http://$callers/calls/1").header("Host", HOST)
        return callerClient(
            SampleDocuments.callHeaders(id).fold(bare) { request, (name, value) -> request.header(name, value) },
        )
    }

    private companion object {
        const val HOST = "gateway.example"
        const val RUN_MILLIS = 50L
        const val POLL_MILLIS = 5L

        /** The length of a part of an answer that ends within its status line. */
        const val PART_BYTES = 12
    }
}
