package sycamore.homes

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import sycamore.forwarding.ResponseEvent
import sycamore.homes.HomeFixture.Companion.address
import sycamore.homes.HomeFixture.Companion.outcome
import sycamore.links.GateStatus
import sycamore.links.GetGateStatus
import sycamore.links.HomeEndpoint
import sycamore.links.HomeTakenOver
import sycamore.links.RunTurn
import sycamore.links.TakeOverHome
import sycamore.links.TurnRefusal
import sycamore.platform.SampleDocuments
import sycamore.standins.KeyValueFaults
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against UNASKED, LOST, BUDGET and DRAIN for turns that a home sends itself, as their upstream has no gate. */
class TurnsWithoutGateTest {
    private suspend fun TestScope.fixture(
        homes: Int = 1,
        drainTime: Duration = 2.5.seconds,
    ): HomeFixture {
        val fixture = HomeFixture(this, drainTime = drainTime)
        (1..3).forEach { fixture.startRetainer(it) }
        for (number in 1..homes) {
            fixture.startHome(number)
            while (!fixture.status(number).isReady) delay(10.milliseconds)
        }
        return fixture
    }

    private suspend fun HomeFixture.status(home: Int) = exchange(address(home), GetGateStatus).first() as GateStatus

    /** The turn [name] at an upstream that has no gate. */
    private fun HomeFixture.turnWithoutGate(
        name: String,
        previous: String? = null,
        program: String = "p",
        budget: Long? = null,
    ): RunTurn = runTurnMessage(UNGATED, name, previous, program, budget).copy(targetHost = null)

    private suspend fun HomeFixture.send(
        turn: RunTurn,
        home: Int = 1,
    ) = exchange(address(home), turn).toList().outcome()

    @Test
    fun `turns continue each other at upstreams with and without a gate`() =
        runTest {
            val fixture = fixture()
            assertEquals("whole", fixture.sendTurn(1, "a").outcome())
            assertEquals("whole", fixture.send(fixture.turnWithoutGate("b", previous = "a")))
            assertEquals("whole", fixture.sendTurn(1, "c", previous = "b").outcome())
            assertEquals("in-a;one\ntwo\nin-b;", fixture.prompts["b"])
            assertEquals("in-a;one\ntwo\nin-b;one\ntwo\nin-c;", fixture.prompts["c"])
        }

    @Test
    fun `a turn at an upstream without a gate is kept when its home is killed`() =
        runTest {
            val fixture = fixture(homes = 2)
            assertEquals("whole", fixture.send(fixture.turnWithoutGate("a")))
            val lost = HomeEndpoint(fixture.status(1).home, address(1))
            fixture.kill(lost.address)
            assertIs<HomeTakenOver>(fixture.exchange(address(2), TakeOverHome(lost)).first())
            assertEquals("whole", fixture.send(fixture.turnWithoutGate("b", previous = "a"), home = 2))
            assertEquals("in-a;one\ntwo\nin-b;", fixture.prompts["b"])
        }

    @Test
    fun `tokens of an upstream without a gate count in the budget`() =
        runTest {
            val fixture = fixture()
            val names = listOf("a", "b", "c")
            val outcomes = names.map { fixture.send(fixture.turnWithoutGate(it, budget = 80)) }
            assertEquals(listOf("whole", "whole", TurnRefusal.BUDGET_SPENT.name), outcomes)
        }

    @Test
    fun `a turn that an upstream without a gate is too full for can run at another one`() =
        runTest {
            val fixture = fixture()
            fixture.isFull = true
            assertEquals(TurnRefusal.TARGET_FULL.name, fixture.send(fixture.turnWithoutGate("a", budget = 50)))
            fixture.isFull = false
            assertEquals("whole", fixture.send(fixture.turnWithoutGate("a", budget = 50)))
        }

    /** A program whose directory does not respond gets a turn once the store, which is slow, has recorded that. */
    @Test
    fun `a turn that has waited at its home is not sent to an upstream without a gate that has left meanwhile`() =
        runTest {
            val fixture = fixture(homes = 2, DRAIN_TIME)
            fixture.registerEngine(UNGATED, "draining")
            fixture.unreachable += address(1)
            val startedAt = currentTime
            val sentAfter = ArrayList<Long>()
            fixture.answer = { request ->
                flow {
                    sentAfter += currentTime - startedAt
                    emit(ResponseEvent.Head(200, SampleDocuments.answerHeaders(request.headers)))
                    emit(ResponseEvent.Bytes("data: one\n\n".encodeToByteArray()))
                    emit(ResponseEvent.End)
                }
            }
            launch {
                fixture.keys.setFaults(KeyValueFaults(delay = 250.milliseconds))
                delay(400.milliseconds)
                fixture.keys.setFaults(KeyValueFaults())
            }
            val outcomes =
                (1..PROGRAMS)
                    .map { async { fixture.send(fixture.turnWithoutGate("a$it", program = "q$it"), home = 2) } }
                    .awaitAll()
            assertTrue(TurnRefusal.TARGET_LEAVES.name in outcomes, "found $outcomes")
            assertTrue(sentAfter.all { it <= (DRAIN_TIME / 3).inWholeMilliseconds }, "sent after $sentAfter ms")
        }

    private companion object {
        /** The host of an upstream that has no gate. */
        const val UNGATED = 9

        /** Enough that the unreachable home keeps the directory of some of them. */
        const val PROGRAMS = 20

        /** A home reads again whether an upstream leaves for a turn that has waited for a third of this. */
        val DRAIN_TIME = 900.milliseconds
    }
}
