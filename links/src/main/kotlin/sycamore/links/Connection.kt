package sycamore.links

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * A connection after its handshake. Reads and writes whole frames, and closes when the peer sends nothing or stops
 * reading.
 *
 * @param pings whether this end sends the heartbeats; the other end answers them.
 * @param isActive whether exchanges are in progress, which makes heartbeats more frequent.
 */
internal class Connection(
    private val pipe: Pipe,
    private val bounds: LinkBounds,
    private val time: TimeSource,
    private val pings: Boolean,
    private val isActive: () -> Boolean,
) {
    private val writer = FrameWriter(pipe, time)

    @Volatile
    private var lastReceived: TimeMark = time.markNow()

    @Volatile
    private var lastPing: TimeMark = time.markNow()

    /** The reason why the connection was closed; null while it is open. */
    @Volatile
    var closeReason: String? = null
        private set

    /** Whether the connection is open and has frames that are not fully written. */
    val isWriting: Boolean get() = closeReason == null && writer.isBusy

    /**
     * Queues [frame], which is then written in full even if the calling coroutine is cancelled meanwhile. Fails with
     * [IOException] when the connection is closed.
     */
    suspend fun send(frame: Frame) {
        val bytes = FrameCodec.encode(frame)
        require(bytes.size <= bounds.maxFrameBytes) {
            "expected a frame of at most ${bounds.maxFrameBytes} bytes, found ${bytes.size}"
        }
        closeReason?.let { throw IOException(it) }
        writer.write(bytes)
    }

    /** Reads frames and passes them to [handle] until the connection is closed, then returns the reason. */
    suspend fun run(handle: suspend (Frame) -> Unit): String =
        coroutineScope {
            val writing = launch { writer.run() }
            try {
                while (closeReason == null) receive(handle)
            } catch (e: Exception) {
                // A pipe that was closed may fail with a CancellationException although this coroutine was not
                // cancelled.
                close(if (e is CancellationException) "this end was closed" else e.message ?: "the peer closed it")
                currentCoroutineContext().ensureActive()
            } finally {
                writing.cancel()
            }
            closeReason.orEmpty()
        }

    private suspend fun receive(handle: suspend (Frame) -> Unit) {
        val frame = FrameCodec.decode(pipe.read(bounds.maxFrameBytes))
        lastReceived = time.markNow()
        when (frame) {
            Frame.Ping -> writer.tryWrite(Frame.Pong)
            Frame.Pong, Frame.Unknown -> Unit
            else -> handle(frame)
        }
    }

    /**
     * Sends a heartbeat at once if nothing was received lately, so that a first exchange after a pause soon detects a
     * lost peer.
     */
    fun probe() {
        if (pings && lastReceived.elapsedNow() > bounds.activePingInterval) ping()
    }

    /** Closes the connection. The [reason] of the first call is kept. */
    fun close(reason: String) {
        if (closeReason == null) closeReason = reason
        writer.close(IOException(closeReason))
        pipe.close()
    }

    /**
     * Closes the connection if the peer sends nothing or stops reading, and sends a heartbeat if one is due. Has to be
     * called periodically.
     *
     * @param wasPaused whether this process itself was paused, so that it could not receive anything meanwhile.
     */
    fun check(wasPaused: Boolean) {
        if (wasPaused) lastReceived = time.markNow()
        val timeout: Duration = if (isActive()) bounds.activeReceiveTimeout else bounds.idleReceiveTimeout
        if (lastReceived.elapsedNow() > timeout) close("the peer sent nothing for $timeout")
        if (writer.pendingFor > bounds.write) close("the peer accepted no bytes for ${bounds.write}")
        val interval = if (isActive()) bounds.activePingInterval else bounds.idlePingInterval
        if (pings && lastPing.elapsedNow() >= interval) ping()
    }

    private fun ping() {
        lastPing = time.markNow()
        writer.tryWrite(Frame.Ping)
    }
}
