package sycamore.forwarding

import org.eclipse.jetty.io.AbstractEndPoint
import org.eclipse.jetty.io.Connection
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.Callback
import java.io.IOException
import java.util.concurrent.CancellationException
import java.util.concurrent.atomic.AtomicReference

/**
 * Detects that a caller closes its connection while its request is being served.
 *
 * Jetty does not read from a connection between the last byte of a request and the end of its response, so it would not
 * detect a close until then. Bytes that arrive in that time belong to the caller's next request and are handed back to
 * Jetty.
 */
internal class CallerWatch(
    private val connection: Connection,
) {
    private enum class State { IDLE, WATCHING, STOPPED }

    private val endPoint = connection.endPoint as? AbstractEndPoint
    private val state = AtomicReference(State.IDLE)

    /** Calls [onClosed] if the connection is closed before [stop]. */
    fun start(onClosed: () -> Unit) {
        if (endPoint == null || !state.compareAndSet(State.IDLE, State.WATCHING)) return
        // This fails if Jetty itself is already reading. The close is then detected by a failing write.
        if (!endPoint.tryFillInterested(readable(onClosed))) state.set(State.STOPPED)
    }

    /**
     * Ends the watch. To be called before the last byte of the response, since Jetty reads the next request after that.
     */
    fun stop() {
        if (state.getAndSet(State.STOPPED) == State.WATCHING) {
            endPoint?.fillInterest?.onFail(CancellationException("the caller watch was stopped"))
        }
    }

    private fun readable(onClosed: () -> Unit): Callback =
        Callback.from({ readIfWatching(onClosed) }, { failure -> connectionClosed(failure, onClosed) })

    private fun readIfWatching(onClosed: () -> Unit) {
        if (state.get() != State.WATCHING) return
        val buffer = BufferUtil.allocate(READ_BYTES)
        val count =
            try {
                endPoint!!.fill(buffer)
            } catch (_: IOException) {
                -1
            }
        when {
            count < 0 -> connectionClosed(null, onClosed)
            // If this fails, the close is detected by a failing write.
            count == 0 -> endPoint!!.tryFillInterested(readable(onClosed))
            // The caller has begun its next request, so it is still connected. The bytes are parsed after this
            // response.
            else -> (connection as? Connection.UpgradeTo)?.onUpgradeTo(buffer)
        }
    }

    private fun connectionClosed(
        failure: Throwable?,
        onClosed: () -> Unit,
    ) {
        if (failure is CancellationException) return
        if (state.compareAndSet(State.WATCHING, State.STOPPED)) onClosed()
    }

    private companion object {
        /** Enough for the beginning of a next request. Jetty reads the rest of it. */
        const val READ_BYTES = 1024
    }
}
