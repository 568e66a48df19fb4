package sycamore.links

import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeByteArray
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds

/** One direction of a connection in memory. A test can make it lose or hold back bytes, and inspect the bytes sent. */
internal class TestWire {
    val input = ByteChannel(autoFlush = true)
    val output = ByteChannel(autoFlush = true)

    /** All bytes sent, including lost ones. */
    val transferred = ByteArrayOutputStream()

    /** Whether bytes are lost. */
    var losesBytes = false

    /** Whether bytes are held back, as when the receiver does not read. */
    var isBlocked = false

    suspend fun transfer() {
        val buffer = ByteArray(4096)
        while (true) {
            while (isBlocked) delay(1.milliseconds)
            val count = input.readAvailable(buffer, 0, buffer.size)
            if (count < 0) break
            val bytes = buffer.copyOf(count)
            transferred.write(bytes)
            if (!losesBytes) output.writeByteArray(bytes)
        }
    }

    /** Closes the wire at the sender: bytes that were sent still arrive. */
    suspend fun closeInput() = input.flushAndClose()

    /** Closes the wire at the receiver: bytes in transit are dropped. */
    fun closeOutput() {
        output.cancel(IOException("closed"))
        input.cancel(IOException("closed"))
    }
}

/** A connection in memory between a client and [acceptor]. */
internal class TestConnection(
    private val scope: CoroutineScope,
    acceptor: LinkAcceptor,
) {
    val up = TestWire()
    val down = TestWire()
    val dialled = BytePipe(down.output, up.input) { close(up, down) }
    private val accepted = BytePipe(up.output, down.input) { close(down, up) }

    init {
        listOf(up, down).forEach { wire ->
            scope.launch {
                runCatching { wire.transfer() }
                wire.output.flushAndClose()
            }
        }
        scope.launch { acceptor.run(accepted) }
    }

    private fun close(
        sending: TestWire,
        receiving: TestWire,
    ) {
        receiving.closeOutput()
        scope.launch { sending.closeInput() }
    }
}
