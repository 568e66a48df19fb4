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

class FrameWriterTest {
    @Test
    fun `frames arrive in the order of their writes`() =
        runTest {
            val channel = ByteChannel()
            val writer = FrameWriter(channel, backgroundScope)
            val sent = (1L..1000L).map { End(it) }
            launch { sent.forEach { writer.write(it) } }
            assertEquals(sent, sent.map { channel.readFrame() })
        }

    @Test
    fun `a write that waits fails when the link closes`() =
        runTest {
            val writer = FrameWriter(ByteChannel(), backgroundScope)
            val writes =
                async { runCatching { repeat(100_000) { writer.write(Reply(1, Part(id, 0, ByteArray(1000)))) } } }
            runCurrent()
            writer.close()
            val cause = assertFailsWith<IOException> { writes.await().getOrThrow() }
            assertEquals("the link is closed", cause.message)
        }

    private val id = sycamore.model.CallId("1")
}
