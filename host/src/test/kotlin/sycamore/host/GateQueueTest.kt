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

/**
 * Guards against a gate that sends more calls than the upstream can run, that loses the slot of a call which was
 * refused, cancelled or closed twice, or that sends waiting calls in the wrong order. Such faults come about when
 * several calls wait, run and leave at the same time.
 */
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
            onDecision = decisions::add,
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

    private suspend fun GateQueue.granted(call: QueuedCall): Ticket = assertIs<QueueResult.Granted>(admit(call)).ticket

    @Test
    fun `at most as many calls as the capacity are in progress and all are sent`() =
        runTest {
            val queue = queue(capacity = 3)
            var running = 0
            var maxRunning = 0
            val all =
                List(50) { i ->
                    async {
                        val ticket = queue.granted(call("c$i"))
                        maxRunning = maxOf(maxRunning, ++running)
                        delay(10.milliseconds)
                        running--
                        ticket.close(served())
                    }
                }
            all.forEach { it.await() }
            assertEquals(3, maxRunning)
        }

    @Test
    fun `the call of the program that has received less service is sent first`() =
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
    fun `a waiting call is refused at its deadline and occupies no slot afterwards`() =
        runTest {
            val queue = queue()
            val holder = queue.granted(call("holder"))
            val refused = assertIs<QueueResult.Refused>(queue.admit(call("late", timeLeft = 2.seconds)))
            assertEquals("expected room within 2s, found none", refused.shed.reason)
            assertEquals(2_000, testScheduler.currentTime)
            holder.close(served())
            queue.granted(call("after")).close(served())
        }

    @Test
    fun `a waiting call that is cancelled occupies no slot`() =
        runTest {
            val queue = queue()
            val holder = queue.granted(call("holder"))
            val cancelled = launch { queue.admit(call("cancelled")) }
            runCurrent()
            cancelled.cancel()
            runCurrent()
            holder.close(served())
            queue.granted(call("after")).close(served())
        }

    @Test
    fun `a ticket that is closed twice releases its slot once`() =
        runTest {
            val queue = queue()
            val first = queue.granted(call("a"))
            first.close(served())
            val second = queue.granted(call("b"))
            first.close(null)
            val third = async { queue.admit(call("c")) }
            runCurrent()
            assertTrue(third.isActive, "expected one call in progress, found a second one")
            second.close(served())
            third.await()
        }

    @Test
    fun `a call without cached prompt waits for memory that paused programs still need and a cached call does not`() =
        runTest {
            val queue = queue(capacity = 8, memory = 100_000)
            val busy = List(2) { queue.granted(call("busy$it", tokens = 30_000)) }
            queue.granted(call("p1", "p", tokens = 30_000)).close(served())
            val cold = async { queue.admit(call("cold", tokens = 30_000)) }
            runCurrent()
            assertTrue(cold.isActive, "expected the call without cached prompt to wait")
            queue.granted(call("p2", "p", tokens = 30_000)).close(served())
            busy.forEach { it.close(served()) }
            assertIs<QueueResult.Granted>(cold.await())
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
    fun `calls of new programs are refused under overload while calls of running programs may wait`() =
        runTest {
            val queue = queue(overload = OverloadPolicy(maxQueued = 2, newProgramShare = 0.5))
            val holder = queue.granted(call("holder"))
            val waits = async { queue.admit(call("waits")) }
            runCurrent()
            assertIs<QueueResult.Refused>(queue.admit(call("new", isNew = true)))
            val running = async { queue.admit(call("running")) }
            runCurrent()
            assertTrue(running.isActive)
            holder.close(served())
            assertIs<QueueResult.Granted>(waits.await()).ticket.close(served())
            assertIs<QueueResult.Granted>(running.await())
        }
}
