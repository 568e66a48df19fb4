package sycamore.links

import io.ktor.utils.io.writeByteArray
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import kotlinx.serialization.encodeToByteArray
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import sycamore.model.CallId
import java.nio.ByteBuffer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/**
 * Guards against malformed or hostile bytes from a peer that crash the acceptor, hang it, or make it allocate too much
 * memory.
 */
class LinkFuzzTest {
    private fun framed(bytes: ByteArray) =
        ByteBuffer
            .allocate(4 + bytes.size)
            .putInt(bytes.size)
            .put(bytes)
            .array()

    /** Sends [bytes] on a separate connection. The acceptor has to close it and to go on serving other connections. */
    private fun checkAcceptorSurvives(bytes: ByteArray) =
        runTest {
            val net = TestNet(this) { _, _ -> flowOf(Done) }
            val hostile = TestConnection(backgroundScope, net.acceptor)
            hostile.up.input.writeByteArray(bytes)
            testScheduler.advanceTimeBy(6_000)
            testScheduler.runCurrent()
            assertEquals(0, net.acceptor.connections)
            assertEquals(listOf<Message>(Done), net.ask().toList())
            net.close()
        }

    @Property(seed = "20261204", tries = 100)
    fun `the acceptor survives any bytes in place of a hello`(
        @ForAll bytes: ByteArray,
    ) = checkAcceptorSurvives(bytes)

    @Property(seed = "20261204", tries = 100)
    fun `the acceptor survives any frame in place of a hello`(
        @ForAll bytes: ByteArray,
    ) = checkAcceptorSurvives(framed(bytes))

    @Property(seed = "20261204", tries = 1_000)
    fun `any bytes decode to a frame or fail with a protocol exception`(
        @ForAll bytes: ByteArray,
    ) {
        val failure = runCatching { FrameCodec.decode(bytes) }.exceptionOrNull()
        if (failure != null) assertIs<ProtocolException>(failure)
        FrameCodec.decodeMessage(bytes)
    }

    @Property(seed = "20261204", tries = 500)
    fun `a damaged frame decodes to a frame or fails with a protocol exception`(
        @ForAll index: Int,
        @ForAll value: Byte,
    ) {
        val part = FrameCodec.encodeMessage(Part(CallId("c"), 7, ByteArray(20)))
        val bytes = FrameCodec.encode(Frame.Ask(3, part, 64))
        bytes[index.mod(bytes.size)] = value
        val frame = runCatching { FrameCodec.decode(bytes) }
        frame.exceptionOrNull()?.let { assertIs<ProtocolException>(it) }
        (frame.getOrNull() as? Frame.Ask)?.let { FrameCodec.decodeMessage(it.message) }
    }

    @Test
    fun `a length beyond the limit is refused before anything is allocated`() {
        checkAcceptorSurvives(ByteBuffer.allocate(4).putInt(Int.MAX_VALUE).array())
        checkAcceptorSurvives(ByteBuffer.allocate(4).putInt(-1).array())
        checkAcceptorSurvives(ByteBuffer.allocate(4).putInt(0).array())
    }

    @Test
    fun `a truncated hello times out`() = checkAcceptorSurvives(framed(ByteArray(100)).copyOf(50))

    /** An [Envelope] of a later version, with a field that this version does not know. */
    @Serializable
    private class Later(
        @CborLabel(1) val kind: Int,
        @CborLabel(2) val stream: Long,
        @CborLabel(9) val added: String,
    )

    @Test
    fun `frame kinds and fields of a later version are skipped`() {
        val unknownField = FrameCodec.cbor.encodeToByteArray(Later(3, 5, "more"))
        assertEquals(Frame.End(5), FrameCodec.decode(unknownField))
        val unknownKind = FrameCodec.cbor.encodeToByteArray(Later(99, 5, "more"))
        assertEquals(Frame.Unknown, FrameCodec.decode(unknownKind))
        assertTrue(FrameCodec.decodeMessage(byteArrayOf(0x41)) == null)
    }
}
