package sycamore.soak

import kotlinx.coroutines.runBlocking
import sycamore.platform.Header
import sycamore.platform.SampleDocuments
import java.io.File
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.TimeSource

/** Guards against checks that pass because they detect nothing. */
class ObservationsTest {
    private val faults = FaultLog()
    private val observations = Observations(faults)
    private val gateway = Daemon("g", Role.GATEWAY, "127.0.0.1", Path.of("g.toml"), File("g.log"), "") { _, _ -> }

    private fun attempt(kind: CallKind) = Attempt("a1", kind, gateway, "/x", "prompt", now()).also(observations::begin)

    private fun now() = TimeSource.Monotonic.markNow()

    private fun run(
        id: String = "a1",
        prompt: String = "prompt",
    ) = observations.recordRun(
        id,
        "/x",
        prompt,
        Run("u", BODY.encodeToByteArray(), null, isConnectionClean = true, now()).apply { isWritten = true },
    )

    private fun response(
        status: Int,
        body: String = "",
        headers: List<Header> = SampleDocuments.answerHeaders(listOf("X-Request-Id" to "a1")),
    ) = ReceivedResponse(MessageHead("HTTP/1.1 $status X", headers), body.encodeToByteArray(), isComplete = true)

    private fun rules() = observations.violations.map { it.rule }

    @Test
    fun `a complete answer of the request's only run is valid`() {
        val attempt = attempt(CallKind.ONCE)
        run()
        observations.recordResponse(attempt, response(200, BODY), isTimeout = false)
        assertEquals(emptyList(), rules())
    }

    @Test
    fun `a second run of a call that must run once is detected`() {
        attempt(CallKind.ONCE)
        repeat(2) { run() }
        assertEquals(listOf(Rule.TWICE), rules())
    }

    @Test
    fun `runs before and after a refusal are detected`() {
        val attempt = attempt(CallKind.ONCE)
        run()
        observations.recordResponse(attempt, response(503), isTimeout = false)
        run()
        assertEquals(listOf(Rule.REFUSED, Rule.TWICE, Rule.REFUSED), rules())
    }

    @Test
    fun `a request that one address receives twice is detected, also if it is refused`() {
        attempt(CallKind.ONCE)
        for (address in listOf("1:1", "2:1", "1:1")) {
            observations.recordReceipt("a1", "u", address, connection = 1, request = 1, outcome = "503")
        }
        assertEquals(listOf(Rule.RESENT), rules())
        assertEquals(3, observations.receipts("a1").size)
    }

    @Test
    fun `an unknown id and another prompt are detected`() {
        attempt(CallKind.TURN)
        run(id = "a2")
        run(prompt = "another")
        assertEquals(listOf(Rule.UNASKED, Rule.UNASKED), rules())
    }

    @Test
    fun `a short body, a missing signature and the answer to another request are detected`() {
        val attempt = attempt(CallKind.ONCE)
        run()
        observations.recordResponse(attempt, response(200, BODY.dropLast(1)), isTimeout = false)
        observations.recordResponse(attempt, response(200, BODY, emptyList()), isTimeout = false)
        observations.recordResponse(attempt, response(500, "", listOf("X-Request-Id" to "a2")), isTimeout = false)
        assertEquals(listOf(Rule.MIXED, Rule.MIXED, Rule.MIXED), rules())
    }

    @Test
    fun `a request that is cut off while its gateway stops is detected`() {
        val attempt = attempt(CallKind.ONCE)
        run()
        runBlocking { faults.record(OutsideFault.TERMINATE, gateway) {} }
        observations.recordResponse(attempt, response = null, isTimeout = false)
        assertEquals(listOf(Rule.LOST), rules())
    }

    @Test
    fun `a program that receives more than its budget and one turn is detected`() {
        val account = TokenAccount("p", budget = 100)
        assertEquals(listOf(false, false, true), List(3) { account.isOverspentBy(Upstream.MAX_EVENTS - 1) })
    }

    private companion object {
        const val BODY = "the body of a run"
    }
}
