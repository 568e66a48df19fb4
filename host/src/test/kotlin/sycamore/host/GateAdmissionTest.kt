package sycamore.host

import kotlinx.coroutines.flow.collect
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.decisions.Breaker
import sycamore.decisions.GateDecision
import sycamore.decisions.UpstreamLimits
import sycamore.links.Fence
import sycamore.links.Forward
import sycamore.model.Address
import sycamore.model.CallId
import sycamore.model.CallerName
import sycamore.model.Epoch
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.PlaceName
import sycamore.model.ProgramId
import sycamore.model.ServiceName
import sycamore.model.Upstream
import sycamore.programs.Outcome
import sycamore.programs.Request
import sycamore.programs.Usage
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against calls that are sent to a failing upstream again and again, and against the loss of capacity or of the
 * known cache contents after a call. Both happen if the result of a call does not reach the circuit breaker or the
 * queue.
 */
class GateAdmissionTest {
    private val home = HomeId(PlaceName("p"), HostName("h"), Incarnation("i"))
    private val upstream = Upstream(HostName("h"), PlaceName("p"), Address("127.0.0.1", 1), capacity = 1)
    private val decisions = ArrayList<GateDecision>()
    private var isFailing = false
    private var sent = 0

    private val send: CallUpstream = { _, _ ->
        flow {
            sent++
            if (isFailing) throw IOException("broke off")
            emit(UpstreamEvent.Head(200, "text/plain"))
            emit(UpstreamEvent.Bytes(ByteArray(4)))
            val tools = """[{"type":"function","function":{"name":"charge","arguments":"{}"}}]"""
            emit(UpstreamEvent.End(200, "text/plain", tools, "tool_calls", Usage(100, 10, 40)))
        }
    }

    private fun forward(id: String) =
        Forward(
            id = CallId(id),
            fence = Fence(home, Epoch.FIRST),
            program = ProgramId(home, 1),
            caller = CallerName("c"),
            service = ServiceName("s"),
            request = Request("POST", "/"),
            idempotent = true,
            promptTokens = 100,
            released = 0,
            timeLeft = 60.seconds,
        )

    private fun TestScope.queue() =
        GateQueue(GateRules(UpstreamLimits(1, 10_000), onDecision = decisions::add), testTimeSource)

    private suspend fun GateAdmission.call(id: String) =
        admit(forward(id)) {
            runCatching { observed(send)(upstream, forward(id)).collect() }
        }

    @Test
    fun `the tokens of a completed call are recorded in the queue`() =
        runTest {
            val queue = queue()
            assertNull(GateAdmission(queue, testTimeSource).call("a"))
            assertEquals(110, queue.residentTokens("p.h.i.1"))
        }

    @Test
    fun `an upstream that fails repeatedly gets no calls until one probe succeeds`() =
        runTest {
            val admission = GateAdmission(queue(), testTimeSource)
            isFailing = true
            repeat(Breaker.THRESHOLD) { assertNull(admission.call("c$it")) }
            val refusal = assertNotNull(admission.call("refused"))
            assertEquals(Outcome.NOT_RUN, refusal.outcome)
            assertEquals(Breaker.THRESHOLD, sent)
            isFailing = false
            testScheduler.advanceTimeBy(Breaker.FIRST_PAUSE)
            assertNull(admission.call("probe"))
            assertNull(admission.call("after"))
            assertEquals(Breaker.THRESHOLD + 2, sent)
        }

    @Test
    fun `a call that fails releases its slot`() =
        runTest {
            val admission = GateAdmission(queue(), testTimeSource)
            isFailing = true
            admission.call("a")
            isFailing = false
            assertNull(admission.call("b"))
            assertEquals(2, decisions.filterIsInstance<GateDecision.Sent>().size)
        }
}
