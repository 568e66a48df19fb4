package sycamore.links

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import sycamore.model.Address
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against frames that are corrupted when they are split over several reads, senders that are not held up by a
 * slow reader, and readers that stay suspended after a close.
 */
class SocketPipeTest {
    private fun withConnection(test: suspend (dialled: Pipe, accepted: Pipe) -> Unit) =
        runBlocking {
            val accepted = CompletableDeferred<SocketPipe>()
            val server = LinkLoop.shared.listen(Address("127.0.0.1", 0), 1, LinkTraffic(), accepted::complete)
            val dialled = dialTcp(LinkLoop.shared, LinkTraffic())(Address("127.0.0.1", server.socket().localPort))
            withTimeout(30.seconds) { test(dialled, accepted.await()) }
            dialled.close()
            accepted.await().close()
            server.close()
        }

    @Test
    fun `frames of any size arrive intact and in order`() =
        withConnection { dialled, accepted ->
            val sizes = listOf(1, 5, 100_000, 1, 3_000_000, 70_000, 2)
            coroutineScope {
                launch {
                    sizes.forEach { size ->
                        dialled.write(ByteArray(size) { (it + size).toByte() })
                    }
                }
                for (size in sizes) {
                    assertContentEquals(
                        ByteArray(size) { (it + size).toByte() },
                        accepted.read(4_000_000),
                    )
                }
            }
        }

    @Test
    fun `a peer that does not read holds up the sender, and receives all frames once it reads`() =
        withConnection { dialled, accepted ->
            val frame = ByteArray(1_000_000) { it.toByte() }
            coroutineScope {
                val sent = async { repeat(30) { dialled.write(frame) } }
                delay(300.milliseconds)
                assertTrue(sent.isActive, "expected the sender to be suspended")
                repeat(30) { assertContentEquals(frame, accepted.read(frame.size)) }
                sent.await()
            }
        }

    @Test
    fun `a close fails a suspended read at either end`() =
        withConnection { dialled, accepted ->
            coroutineScope {
                val reads = listOf(dialled, accepted).map { async { runCatching { it.read(10) } } }
                delay(50.milliseconds)
                dialled.close()
                reads.forEach { read -> assertFailsWith<IOException> { read.await().getOrThrow() } }
            }
        }

    @Test
    fun `a frame that is longer than the limit is refused`() =
        withConnection { dialled, accepted ->
            dialled.write(ByteArray(11))
            assertFailsWith<ProtocolException> { accepted.read(10) }
        }
}
