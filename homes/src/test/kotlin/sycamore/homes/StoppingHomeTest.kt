package sycamore.homes

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import sycamore.homes.HomeFixture.Companion.address
import sycamore.homes.HomeFixture.Companion.outcome
import sycamore.links.FindTurn
import sycamore.links.GateStatus
import sycamore.links.GetGateStatus
import sycamore.links.Message
import sycamore.links.RunPrompt
import sycamore.links.TurnFound
import sycamore.links.TurnRefusal
import sycamore.routing.AttemptId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against turns that a home breaks off when it stops as planned, though they could have ended or run elsewhere. */
class StoppingHomeTest {
    private fun homeTest(test: suspend TestScope.(HomeFixture) -> Unit) =
        runTest {
            val fixture = HomeFixture(this)
            (1..3).forEach { fixture.startRetainer(it) }
            test(fixture)
        }

    private suspend fun HomeFixture.startReady(number: Int): HomeDaemon {
        val daemon = startHome(number)
        while (!(exchange(address(number), GetGateStatus).first() as GateStatus).isReady) delay(10.milliseconds)
        return daemon
    }

    /** Sends a turn of a program of its own to the home on host [home], to run at the engine of host [engine]. */
    private fun CoroutineScope.sendTurn(
        fixture: HomeFixture,
        home: Int,
        engine: Int,
        name: String,
    ): Deferred<List<Message>> =
        async {
            val message = fixture.runTurnMessage(engine, name, program = "of-$name").copy(timeLeft = 20.seconds)
            fixture.exchange(address(home), message).toList()
        }

    /** Such a turn was sent to the engine in the stop, and broken off at its end; its caller could not repeat it. */
    @Test
    fun `a turn that waits for a slot when its host stops is refused as not run at once`() =
        homeTest { fixture ->
            val daemon = fixture.startReady(1)
            fixture.startReady(2)
            fixture.answerTime = 3.seconds
            val running = (1..2).map { sendTurn(fixture, home = 1, engine = 1, "running$it") }
            delay(500.milliseconds)
            val own = sendTurn(fixture, home = 1, engine = 1, "own")
            val other = sendTurn(fixture, home = 2, engine = 1, "other")
            delay(500.milliseconds)
            launch { daemon.stop(7.seconds) }
            delay(100.milliseconds)
            for (waiting in listOf(own, other)) {
                assertTrue(waiting.isCompleted)
                assertEquals(TurnRefusal.TARGET_GONE.name, waiting.await().outcome())
            }
            running.forEach { assertEquals("whole", it.await().outcome()) }
            assertEquals(setOf("running1", "running2"), fixture.prompts.keys.toSet())
        }

    /** A stopping home did not count such turns, and its process ended while they ran. */
    @Test
    fun `a host stops after its engine has answered the turns of other homes`() =
        homeTest { fixture ->
            val daemon = fixture.startReady(1)
            fixture.startReady(2)
            fixture.answerTime = 4.seconds
            val turn = sendTurn(fixture, home = 2, engine = 1, "a")
            delay(500.milliseconds)
            daemon.stop(7.seconds)
            assertTrue(turn.isCompleted, "the host stopped while its engine answered")
            assertEquals("whole", turn.await().outcome())
        }

    @Test
    fun `a turn of another home that comes while a host stops is refused as not run`() =
        homeTest { fixture ->
            val daemon = fixture.startReady(1)
            launch { daemon.stop(7.seconds) }
            delay(10.milliseconds)
            val prompt = RunPrompt(fixture.runTurnMessage(1, "a"), "in-a;".encodeToByteArray())
            assertEquals(TurnRefusal.TARGET_GONE.name, fixture.exchange(address(1), prompt).toList().outcome())
            assertFalse("a" in fixture.prompts)
        }

    /** The programs were handed over after half of the grace period, which ended the turns in progress. */
    @Test
    fun `a turn in progress gets the time of a stop that the handover does not need`() =
        homeTest { fixture ->
            val daemon = fixture.startReady(1)
            fixture.startReady(2)
            fixture.answerTime = 5.seconds
            val turn = sendTurn(fixture, home = 1, engine = 1, "a")
            delay(10.milliseconds)
            daemon.stop(7.seconds)
            assertEquals("whole", turn.await().outcome())
            fixture.answerTime = 50.milliseconds
            assertEquals("whole", fixture.sendTurn(2, "b", "a", program = "of-a").outcome())
        }

    /** When two hosts stopped at once, one of them handed its programs over to the other one, which ended with them. */
    @Test
    fun `a home that is stopping takes over no programs`() =
        homeTest { fixture ->
            val first = fixture.startReady(1)
            val second = fixture.startReady(2)
            fixture.startReady(3)
            assertEquals("whole", fixture.sendTurn(1, "a").outcome())
            fixture.answerTime = 4.seconds
            sendTurn(fixture, home = 3, engine = 2, "b")
            delay(500.milliseconds)
            launch { second.stop(7.seconds) }
            delay(100.milliseconds)
            first.stop(7.seconds)
            assertTrue(fixture.hasTurn(3, "a"))
        }

    private suspend fun HomeFixture.hasTurn(
        number: Int,
        name: String,
    ): Boolean = (exchange(address(number), FindTurn(AttemptId(name))).first() as TurnFound).hasTurn
}
