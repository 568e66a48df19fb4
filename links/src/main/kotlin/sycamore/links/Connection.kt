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
 * One connection after its handshake: writes frames whole, reads them, and drops a peer that is silent or does not read.
 *
 * @param isActive whether exchanges are in progress, which makes heartbeats frequent.
 * @param pings whether this end sends the heartbeats, which the other answers.
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

    /** Why the connection was closed, or null while it is open. */
    @Volatile
    var closed: String? = null
        private set

    /** Whether frames wait to be written. */
    val isWriting: Boolean get() = closed == null && writer.isBusy

    /** Sends [frame] whole, even when the caller is cancelled meanwhile. Fails with [IOException] when closed. */
    suspend fun send(frame: Frame) {
        val bytes = FrameCodec.encode(frame)
        require(
            bytes.size <= bounds.frameBytes,
        ) { "expected a frame of ${bounds.frameBytes} bytes, found ${bytes.size}" }
        closed?.let { throw IOException(it) }
        writer.write(bytes)
    }

    /** Reads frames into [handle] until the connection is closed, then returns the reason. */
    suspend fun run(handle: suspend (Frame) -> Unit): String =
        coroutineScope {
            val writing = launch { writer.run() }
            try {
                while (closed == null) receive(handle)
            } catch (e: Exception) {
                // A pipe that was closed fails with a cancellation too, which is not one of this coroutine.
                close(if (e is CancellationException) "this end was closed" else e.message ?: "the peer closed it")
                currentCoroutineContext().ensureActive()
            } finally {
                writing.cancel()
            }
            closed.orEmpty()
        }

    private suspend fun receive(handle: suspend (Frame) -> Unit) {
        val frame = FrameCodec.decode(pipe.read(bounds.frameBytes))
        lastReceived = time.markNow()
        when (frame) {
            Frame.Ping -> writer.tryWrite(Frame.Pong)
            Frame.Pong, Frame.Unknown -> Unit
            else -> handle(frame)
        }
    }

    /** Asks for a sign of life at once, for a first exchange after a pause. */
    fun probe() {
        if (pings && lastReceived.elapsedNow() > bounds.activePing) ping()
    }

    /** Closes the connection; the first [reason] stays. */
    fun close(reason: String) {
        if (closed == null) closed = reason
        writer.close(IOException(closed))
        pipe.close()
    }

    /**
     * Drops a peer that is silent or does not read, and sends a heartbeat if one is due. Has to be called again and again.
     *
     * @param wasPaused whether this process itself did not run for a while; then no peer is blamed.
     */
    fun check(wasPaused: Boolean) {
        if (wasPaused) lastReceived = time.markNow()
        val limit: Duration = if (isActive()) bounds.activeSilence else bounds.idleSilence
        if (lastReceived.elapsedNow() > limit) close("the peer was silent for $limit")
        if (writer.stuckFor > bounds.write) close("the peer took no byte for ${bounds.write}")
        val pause = if (isActive()) bounds.activePing else bounds.idlePing
        if (pings && lastPing.elapsedNow() >= pause) ping()
    }

    private fun ping() {
        lastPing = time.markNow()
        writer.tryWrite(Frame.Ping)
    }
}
