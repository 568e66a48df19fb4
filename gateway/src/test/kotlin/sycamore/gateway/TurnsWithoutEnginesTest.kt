package sycamore.gateway

import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.runBlocking
import sycamore.links.Exchange
import sycamore.links.GateStatus
import sycamore.links.GetGateStatus
import sycamore.links.HeaderField
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.links.RunTurn
import sycamore.links.TurnBegun
import sycamore.links.TurnBytes
import sycamore.links.TurnComplete
import sycamore.links.TurnInterrupted
import sycamore.links.TurnRefusal
import sycamore.links.TurnRefused
import sycamore.links.Unsupported
import sycamore.model.Address
import sycamore.model.HomeId
import sycamore.platform.Header
import sycamore.platform.SampleDocuments
import sycamore.services.Revision
import sycamore.standins.SocketRequest
import sycamore.turns.HomeEntry
import sycamore.turns.HomeKeys
import java.io.OutputStream
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration

/**
 * Guards against UNASKED, LOST and BUDGET: turns on a route to a service without engines were forwarded like plain calls, without
 * their history, and no home kept them or counted their tokens.
 */
class TurnsWithoutEnginesTest {
    private val turns = CopyOnWriteArrayList<Pair<Address, RunTurn>>()
    private val ready = HomeId.parse("here.h1.0123456789ab")!! to Address("10.0.1.1", 1)
    private val starting = HomeId.parse("here.h2.0123456789ab")!! to Address("10.0.1.2", 1)

    /** The replies of homes to a turn. */
    private var replies: (RunTurn) -> List<Message> = ::complete

    private val links: Exchange = { to, message ->
        flow {
            val (home, address) =
                listOf(ready, starting).find { it.second == to } ?: throw LinkException("$to is down", sent = false)
            when (message) {
                is GetGateStatus -> emit(GateStatus(home, address == ready.second, 0, 0, Duration.ZERO))
                is RunTurn -> {
                    turns += to to message
                    replies(message).forEach { emit(it) }
                }
                else -> emit(Unsupported)
            }
        }
    }

    private fun complete(turn: RunTurn): List<Message> {
        val headers = SampleDocuments.answerHeaders(listOf("X-Request-Id" to turn.turn.value))
        val fields = headers.map { HeaderField(it.first, it.second) }
        return listOf(TurnBegun(200, fields), TurnBytes("id: 1\ndata: a\n\n".encodeToByteArray()), TurnComplete())
    }

    @Test
    fun `a turn at a service without engines is run by a home, which has to send it to the upstream itself`() =
        gateway {
            assertEquals(200, send("a"))
            val (home, turn) = turns.single()
            assertEquals(ready.second, home)
            assertTrue(turn.keepsHistory)
            assertNull(turn.targetHost)
            assertEquals(upstreams.single().address, turn.target.address)
            assertEquals(emptyList(), received, "the gateway has sent the turn itself")
        }

    @Test
    fun `an event of a service without engines counts as many tokens as one of the engines in force`() =
        gateway {
            send("a")
            assertEquals(10, turns.single().second.tokensPerEvent)
        }

    @Test
    fun `a stream with a token budget is run by a home although its route keeps no history`() =
        gateway(withoutHistory(MOVED)) {
            assertEquals(200, send("a"))
            assertFalse(turns.single().second.keepsHistory)
            assertEquals(100_000, turns.single().second.tokenBudget)
        }

    /** Guards against a 503, or a 404 that ends the program: the turn that the call names was looked for at all homes. */
    @Test
    fun `a stream with a token budget runs whatever earlier turn it names if its route keeps no history`() =
        gateway(withoutHistory(MOVED)) {
            assertEquals(200, send("b", headers = SampleDocuments.turnHeaders("b", "p", previous = "a")))
        }

    @Test
    fun `a stream without a budget on a route without history is forwarded like a plain call`() =
        gateway(withoutHistory(MOVED)) {
            assertEquals(200, send("a", headers = SampleDocuments.callHeaders("a")))
            assertEquals(listOf("a"), received)
            assertTrue(turns.isEmpty())
        }

    @Test
    fun `a turn that an upstream without a gate is too full for is sent to another one`() =
        gateway(upstreams = 2) {
            replies = { if (turns.size == 1) full() else complete(it) }
            assertEquals(200, send("a"))
            assertEquals(2, turns.map { it.second.target.address }.distinct().size)
        }

    @Test
    fun `a turn that all upstreams without gates refuse is refused as not run, after one request to each`() =
        gateway(upstreams = 3) {
            replies = { full() }
            assertEquals(503, send("a"))
            assertEquals(3, turns.map { it.second.target.address }.distinct().size)
            assertEquals(3, turns.size)
        }

    @Test
    fun `a turn is not sent again once an upstream without a gate may have run it`() =
        gateway(upstreams = 2) {
            replies = { listOf(TurnInterrupted("the upstream broke off")) }
            assertEquals(502, send("a"))
            assertEquals(1, turns.size)
        }

    @Test
    fun `a turn that may be resumed names other upstreams without gates`() =
        gateway(resumable(MOVED), upstreams = 3) {
            send("a")
            val turn = turns.single().second
            val others = assertNotNull(turn.continuation).targets
            assertEquals(3, (others.map { it.engine.address } + turn.target.address).distinct().size)
            assertTrue(others.all { it.host == null })
        }

    @Test
    fun `turns are served by engines on hosts without a home`() =
        gateway(SocketGateway.CONFIGURATION, engines = listOf(Address("10.0.9.9", 80))) {
            assertEquals(200, send("a"))
            val (home, turn) = turns.single()
            assertEquals(ready.second, home)
            assertNull(turn.targetHost)
            assertEquals(Address("10.0.9.9", 80), turn.target.address)
        }

    @Test
    fun `turns are served although the profile of their engines cannot be used`() =
        gateway(
            SocketGateway.CONFIGURATION
                .decodeToString()
                .replace("\"slots\":4", "\"slots\":0")
                .encodeToByteArray(),
            engines = listOf(Address("10.0.9.9", 80)),
        ) {
            assertEquals(200, send("a"))
            assertTrue(turns.single().second.keepsHistory)
        }

    private fun full(): List<Message> = listOf(TurnRefused(TurnRefusal.TARGET_FULL, "the upstream is full"))

    private fun gateway(
        document: ByteArray = MOVED,
        upstreams: Int = 1,
        engines: List<Address> = emptyList(),
        test: SocketGateway.() -> Unit,
    ) {
        val plain = List(upstreams) { BEHAVIOUR }.toTypedArray()
        SocketGateway(*plain, document = document, engines = engines, links = links).use { gateway ->
            runBlocking {
                listOf(ready, starting).forEach { (home, address) ->
                    val entry = HomeKeys.encode(HomeEntry(home, address))
                    gateway.store.put(HomeKeys.key(home), entry, Revision.ABSENT)
                }
            }
            gateway.test()
        }
    }

    private fun SocketGateway.send(
        id: String,
        headers: List<Header> = SampleDocuments.turnHeaders(id, "p", previous = null),
    ): Int? = SocketGateway.status(call(id, headers, path = "/turns/1"))

    private companion object {
        val BEHAVIOUR: (SocketRequest, OutputStream) -> Unit =
            { request, output -> output.write(SocketGateway.success(request)) }

        /** A configuration whose turns run at the service without engines. */
        val MOVED =
            SampleDocuments.configuration(
                SocketGateway.HOST,
                "/turns/",
                "engines",
                "/calls/",
                "plain",
                isIdempotent = false,
                turnsTo = "plain",
            )

        fun withoutHistory(document: ByteArray) =
            document.decodeToString().replace("\"retains_history\":true,\"retention_s\":60,", "").encodeToByteArray()

        fun resumable(document: ByteArray) =
            document
                .decodeToString()
                .replace("\"retains_history\":true", "\"retains_history\":true,\"resumable\":true")
                .encodeToByteArray()
    }
}
