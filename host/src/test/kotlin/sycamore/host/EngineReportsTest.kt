package sycamore.host

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.test.runTest
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Status
import sycamore.model.Address
import sycamore.model.ModelName
import sycamore.services.EngineOrder
import sycamore.services.EngineReply
import sycamore.services.EngineWire
import sycamore.services.HttpEngineControl
import sycamore.standins.engine.EngineFaults
import sycamore.standins.engine.EngineServer
import sycamore.standins.engine.EngineSpec
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration

/**
 * Guards against a client for the control interface of engines that misreads the replies of an engine: cache contents,
 * refusals with a status, and an engine that cannot be reached.
 */
class EngineReportsTest {
    private val server =
        EngineServer(EngineSpec(checksFencing = true), EngineFaults(eventLag = Duration.ZERO, loadLag = Duration.ZERO))
    private val control = HttpEngineControl(Address("127.0.0.1", 1), server.handler, Dispatchers.Default)

    @AfterTest
    fun close() = server.close()

    private fun chat(program: String) {
        val request =
            Request(Method.POST, EngineWire.CHAT)
                .header(EngineWire.CALL_HEADER, "call-$program")
                .header(EngineWire.PROGRAM_HEADER, program)
                .body("""{"model":"","messages":[{"role":"user","content":"hello"}]}""")
        server.handler(request).bodyString()
    }

    private fun <T> done(reply: EngineReply<T>): T = assertIs<EngineReply.Done<T>>(reply).value

    @Test
    fun `a cache is listed, evicted, and imported from an export`() =
        runTest {
            chat("p")
            val tokens = done(control.listing()).programs.getValue("p")
            assertEquals(tokens, done(control.events(0)).last().tokens)
            val exported = done(control.export("p"))
            assertEquals(tokens, exported.spans.sumOf { it.tokens }.toLong())
            done(control.evict("p"))
            assertEquals(emptyMap(), done(control.listing()).programs)
            done(control.import(exported))
            assertEquals(mapOf("p" to tokens), done(control.listing()).programs)
        }

    @Test
    fun `an order with an old fencing number is refused with its status`() =
        runTest {
            val load = { fencing: Long -> EngineOrder.Load(fencing, ModelName("m")) }
            done(control.sendOrder(load(7)))
            assertEquals(Status.CONFLICT.code, assertIs<EngineReply.Refused>(control.sendOrder(load(6))).status)
        }

    @Test
    fun `cancelling a call that is not in progress returns false`() =
        runTest { assertEquals(false, done(control.cancel("none"))) }

    @Test
    fun `an engine that cannot be reached is reported as unreachable instead of refusing`() =
        runTest {
            val failing: HttpHandler = { error("no route") }
            val unreachable = HttpEngineControl(Address("127.0.0.1", 1), failing, Dispatchers.Default)
            assertEquals(EngineReply.Unreachable("no route"), unreachable.load())
        }
}
