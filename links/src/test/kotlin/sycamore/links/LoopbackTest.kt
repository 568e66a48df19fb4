package sycamore.links

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import sycamore.model.Address
import sycamore.model.CallId
import sycamore.model.HostName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against failures of links over real TCP that the pipes in memory of the other tests do not show. */
class LoopbackTest {
    private val keys = LinkKeys(listOf(LinkKey.parse("0123456789abcdef0123456789abcdef")!!))

    @Test
    fun `many exchanges share one TCP connection, and exchanges with a closed server fail as not sent`(): Unit =
        runBlocking {
            val server =
                LinkServer.listen(HostName("b"), Address("127.0.0.1", 0), keys) { _, _ ->
                    flow { repeat(200) { emit(Part(CallId("c"), it.toLong(), ByteArray(1000))) } }
                }
            val client = LinkClient(HostName("a"), keys)
            val to = Address("127.0.0.1", server.port)
            val counts = (1..20).map { async { client.exchange(to, Done).toList().size } }.awaitAll()
            assertEquals(List(20) { 200 }, counts)
            assertEquals(1, client.linkCount)
            server.leave(5.seconds)
            withTimeout(10.seconds) { while (client.linkCount > 0) delay(1.milliseconds) }
            assertFalse(assertFailsWith<LinkException> { client.exchange(to, Done).toList() }.sent)
            client.close()
        }

    @Test
    fun `a refused client receives the reason over TCP`(): Unit =
        runBlocking {
            val server = LinkServer.listen(HostName("b"), Address("127.0.0.1", 0), keys) { _, _ -> flow { emit(Done) } }
            val client = LinkClient(HostName("a"))
            val to = Address("127.0.0.1", server.port)
            val failure = assertFailsWith<LinkException> { client.exchange(to, Done).toList() }
            assertEquals("cannot reach $to: refused: no such key as ''", failure.message)
            client.close()
            server.close()
        }
}
