package sycamore.links

import io.ktor.utils.io.ByteChannel
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/**
 * Guards against frames that are reordered between the direct and the queued path of the writer, and against senders
 * that stay suspended on a full queue after the link was closed.
 */
class FrameWriterTest {
    private fun pipe() = ByteChannel().let { BytePipe(it, it) { } }

    @Test
    fun `frames arrive in the order in which they were written`() =
        runTest {
            val pipe = pipe()
            val writer = FrameWriter(pipe)
            backgroundScope.launch { writer.run() }
            val sent = (1L..1000L).map { Frame.End(it) }
            launch { sent.forEach { writer.write(it) } }
            assertEquals<List<Frame>>(sent, sent.map { FrameCodec.decode(pipe.read(1_000)) })
        }

    @Test
    fun `a suspended write fails when the link closes`() =
        runTest {
            val writer = FrameWriter(pipe())
            backgroundScope.launch { writer.run() }
            val writes =
                async { runCatching { repeat(100_000) { writer.write(Frame.Reply(1, ByteArray(1000))) } } }
            runCurrent()
            writer.close()
            val cause = assertFailsWith<IOException> { writes.await().getOrThrow() }
            assertEquals("the link is closed", cause.message)
        }
}
