package sycamore.links

import io.ktor.utils.io.writeByteArray
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.encodeToByteArray
import sycamore.model.HostName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against links to peers that cannot prove a shared key, against links that fail during a rotation of keys, and
 * against refusals whose reason does not reach the peer.
 */
class HandshakeTest {
    private val old = LinkKey.parse("old-old-old-old-old-old-old-old-old")!!
    private val new = LinkKey.parse("new-new-new-new-new-new-new-new-new")!!

    private fun TestScope.net(
        client: List<LinkKey>,
        server: List<LinkKey>,
    ) = TestNet(this, clientKeys = LinkKeys(client), serverKeys = LinkKeys(server)) { from, _ ->
        assertEquals(HostName("client"), from)
        flowOf(Done)
    }

    @Test
    fun `both ends authenticate each other at each step of a key rotation`() =
        runTest {
            val steps = listOf(listOf(old), listOf(old, new), listOf(new, old), listOf(new))
            steps.zipWithNext().forEach { (before, after) ->
                for ((client, server) in listOf(before to after, after to before, after to after)) {
                    val net = net(client, server)
                    assertEquals(listOf<Message>(Done), net.ask().toList(), "$client $server")
                    net.close()
                }
            }
        }

    @Test
    fun `a peer without the key is refused at either end`() =
        runTest {
            val pairs =
                listOf(
                    listOf(old) to listOf(new),
                    emptyList<LinkKey>() to listOf(old),
                    listOf(old) to emptyList(),
                )
            for ((client, server) in pairs) {
                val net = net(client, server)
                val failure = assertFailsWith<LinkException> { net.ask().toList() }
                assertFalse(failure.sent)
                delay(6.seconds)
                assertEquals(0, net.acceptor.connections)
                net.close()
            }
        }

    /**
     * Guards against a lost refusal: if the connection is closed while the peer's proof is unread, TCP resets it and
     * the peer never receives the reason.
     */
    @Test
    fun `an acceptor reads the proof before it refuses the key`() =
        runTest {
            val order = ArrayList<String>()
            val hello = Hello(2, 2, HostName("client"), ByteArray(16))
            val proof = Proof(Envelope.EMPTY)
            val cbor = FrameCodec.cbor
            val pipe = scriptedPipe(listOf(cbor.encodeToByteArray(hello), cbor.encodeToByteArray(proof)), order)
            val refusing = Handshake(HostName("server"), LinkKeys(listOf(old)))
            assertFailsWith<LinkRefusedException> { refusing.accept(pipe) }
            assertEquals(listOf("read", "write", "read", "write"), order)
        }

    private fun scriptedPipe(
        frames: List<ByteArray>,
        order: MutableList<String>,
    ) = object : Pipe {
        private val unread = ArrayDeque(frames)

        override suspend fun read(maxBytes: Int) = unread.removeFirst().also { order += "read" }

        override fun enqueue(frame: ByteArray): Boolean = order.add("write")

        override suspend fun flush() = Unit

        override fun close() = Unit
    }

    @Test
    fun `a replayed handshake does not authenticate`() =
        runTest {
            var received = 0
            val keys = LinkKeys(listOf(old))
            val net =
                TestNet(this, clientKeys = keys, serverKeys = keys) { _, _ ->
                    received++
                    flowOf(Done)
                }
            net.ask().toList()
            val recorded =
                net.connections
                    .single()
                    .up.transferred
                    .toByteArray()
            val replayed = TestConnection(backgroundScope, net.acceptor)
            replayed.up.input.writeByteArray(recorded)
            testScheduler.advanceTimeBy(10_000)
            assertEquals(1, received)
            assertEquals(1, net.acceptor.connections)
            net.close()
        }

    @Test
    fun `the highest common version is chosen, and a failure names the ranges of both ends`() =
        runTest {
            val hello = { least: Int, most: Int -> Hello(least, most, HostName("h"), ByteArray(16)) }
            assertEquals(3, Versions(2, 3).common(hello(1, 4)))
            assertEquals(2, Versions(2, 3).common(hello(1, 2)))
            assertNull(Versions(2, 3).common(hello(4, 5)))
            val net = TestNet(this, clientVersions = Versions(3, 4)) { _, _ -> flowOf(Done) }
            val failure = assertFailsWith<LinkException> { net.ask().toList() }
            assertTrue(
                failure.message!!.endsWith("server speaks versions 2 to 2, client speaks 3 to 4"),
                failure.message,
            )
            net.close()
        }

    @Test
    fun `short keys are rejected, and the text of a key does not reveal it`() {
        assertNull(LinkKey.parse("short"))
        assertEquals(8, old.id.length)
        assertFalse("old-old" in old.toString())
    }
}
