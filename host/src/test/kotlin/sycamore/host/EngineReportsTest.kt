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
    fun `a cache is listed, carried over and evicted`() =
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
    fun `cancelling a call that is not in progress says so`() =
        runTest { assertEquals(false, done(control.cancel("none"))) }

    @Test
    fun `an engine that cannot be reached is told from one that refuses`() =
        runTest {
            val broken: HttpHandler = { error("no route") }
            val lost = HttpEngineControl(Address("127.0.0.1", 1), broken, Dispatchers.Default)
            assertEquals(EngineReply.Unreachable("no route"), lost.load())
        }
}
