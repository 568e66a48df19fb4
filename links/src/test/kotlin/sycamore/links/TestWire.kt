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

/** One direction of a connection in memory, which a test can silence, stop and spy on. */
internal class TestWire {
    val input = ByteChannel(autoFlush = true)
    val output = ByteChannel(autoFlush = true)
    val seen = ByteArrayOutputStream()

    /** Whether bytes vanish. */
    var isSilent = false

    /** Whether bytes stay where they are, as when the receiver does not read. */
    var isStuck = false

    suspend fun carry() {
        val buffer = ByteArray(4096)
        while (true) {
            while (isStuck) delay(1.milliseconds)
            val count = input.readAvailable(buffer, 0, buffer.size)
            if (count < 0) break
            val bytes = buffer.copyOf(count)
            seen.write(bytes)
            if (!isSilent) output.writeByteArray(bytes)
        }
    }

    /** The sender closes: what it has sent still arrives. */
    suspend fun endOfInput() = input.flushAndClose()

    /** The receiver closes: nothing arrives any more. */
    fun endOfOutput() {
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
                runCatching { wire.carry() }
                wire.output.flushAndClose()
            }
        }
        scope.launch { acceptor.run(accepted) }
    }

    private fun close(
        sending: TestWire,
        receiving: TestWire,
    ) {
        receiving.endOfOutput()
        scope.launch { sending.endOfInput() }
    }
}
