package sycamore.host

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.decisions.GateDecision
import sycamore.decisions.OverloadPolicy
import sycamore.decisions.ServedCall
import sycamore.decisions.UpstreamLimits
import sycamore.model.CallId
import sycamore.model.CallerName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GateQueueTest {
    private val evicted = ArrayList<String>()
    private val decisions = ArrayList<GateDecision>()

    private fun TestScope.queue(
        capacity: Int = 1,
        memory: Long = 0,
        overload: OverloadPolicy = OverloadPolicy(),
    ) = GateQueue(
        GateRules(
            UpstreamLimits(capacity, memory),
            overload = overload,
            evict = evicted::add,
            decided = decisions::add,
        ),
        testTimeSource,
    )

    private fun call(
        id: String,
        program: String = id,
        tokens: Long = 100,
        isNew: Boolean = false,
        timeLeft: Duration = 60.seconds,
    ) = QueuedCall(CallId(id), program, program, CallerName("x"), tokens, 0, isNew, timeLeft)

    private fun served(millis: Int = 100) =
        ServedCall(computedTokens = 100, cachedTokens = 0, outputTokens = 10, 10.milliseconds, millis.milliseconds)

    private suspend fun GateQueue.granted(call: QueuedCall): Ticket = assertIs<Turn.Granted>(admit(call)).ticket

    @Test
    fun `no more calls than the capacity are in progress and none is lost`() =
        runTest {
            val queue = queue(capacity = 3)
            var running = 0
            var most = 0
            val all =
                List(50) { i ->
                    async {
                        val ticket = queue.granted(call("c$i"))
                        most = maxOf(most, ++running)
                        delay(10.milliseconds)
                        running--
                        ticket.close(served())
                    }
                }
            all.forEach { it.await() }
            assertEquals(3, most)
        }

    @Test
    fun `a program that has had less service goes first`() =
        runTest {
            val queue = queue()
            repeat(5) { queue.granted(call("long$it", "long")).close(served(5_000)) }
            val holder = queue.granted(call("holder"))
            val order = ArrayList<String>()
            for (program in listOf("long", "short")) {
                launch { queue.granted(call("next-$program", program)).also { order += program }.close(served()) }
                runCurrent()
            }
            holder.close(served())
            runCurrent()
            assertEquals(listOf("short", "long"), order)
        }

    @Test
    fun `a call that runs out of time is refused at once and leaves no trace`() =
        runTest {
            val queue = queue()
            val holder = queue.granted(call("holder"))
            val refused = assertIs<Turn.Refused>(queue.admit(call("late", timeLeft = 2.seconds)))
            assertEquals("expected room within 2s, found none", refused.shed.reason)
            assertEquals(2_000, testScheduler.currentTime)
            holder.close(served())
            queue.granted(call("after")).close(served())
        }

    @Test
    fun `a caller that goes away while it waits takes no room`() =
        runTest {
            val queue = queue()
            val holder = queue.granted(call("holder"))
            val gone = launch { queue.admit(call("gone")) }
            runCurrent()
            gone.cancel()
            runCurrent()
            holder.close(served())
            queue.granted(call("after")).close(served())
        }

    @Test
    fun `a ticket that is closed twice gives its room back once`() =
        runTest {
            val queue = queue()
            val first = queue.granted(call("a"))
            first.close(served())
            val second = queue.granted(call("b"))
            first.close(null)
            val third = async { queue.admit(call("c")) }
            runCurrent()
            assertTrue(third.isActive, "a second call was let out")
            second.close(served())
            third.await()
        }

    @Test
    fun `a cold call waits for programs that are expected back and a cached one does not`() =
        runTest {
            val queue = queue(capacity = 8, memory = 100_000)
            val busy = List(2) { queue.granted(call("busy$it", tokens = 30_000)) }
            queue.granted(call("p1", "p", tokens = 30_000)).close(served())
            val cold = async { queue.admit(call("cold", tokens = 30_000)) }
            runCurrent()
            assertTrue(cold.isActive, "the cold call went ahead")
            queue.granted(call("p2", "p", tokens = 30_000)).close(served())
            busy.forEach { it.close(served()) }
            assertIs<Turn.Granted>(cold.await())
        }

    @Test
    fun `the cache of a program that ended is evicted`() =
        runTest {
            val queue = queue(memory = 1_000)
            queue.granted(call("a", "p")).close(served())
            queue.end("p")
            assertEquals(listOf("p"), evicted)
            assertEquals("110 cached tokens evicted: the program ended", decisions.last().toString())
        }

    @Test
    fun `new programs are shed while running ones may still wait`() =
        runTest {
            val queue = queue(overload = OverloadPolicy(maxQueued = 2, newProgramShare = 0.5))
            val holder = queue.granted(call("holder"))
            val waits = async { queue.admit(call("waits")) }
            runCurrent()
            assertIs<Turn.Refused>(queue.admit(call("new", isNew = true)))
            val running = async { queue.admit(call("running")) }
            runCurrent()
            assertTrue(running.isActive)
            holder.close(served())
            assertIs<Turn.Granted>(waits.await()).ticket.close(served())
            assertIs<Turn.Granted>(running.await())
        }
}
