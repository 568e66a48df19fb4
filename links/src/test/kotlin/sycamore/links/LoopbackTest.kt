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

class LoopbackTest {
    private val keys = LinkKeys(listOf(LinkKey.parse("0123456789abcdef0123456789abcdef")!!))

    @Test
    fun `many exchanges share one connection over TCP, and a closed server is not reached`(): Unit =
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
    fun `a refused client learns why over TCP`(): Unit =
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
