package sycamore.forwarding

import org.eclipse.jetty.io.AbstractEndPoint
import org.eclipse.jetty.io.Connection
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.Callback
import java.io.IOException
import java.util.concurrent.CancellationException

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

    /** Held while this reads, so that no read is pending or under way once [stop] has returned. */
    private val lock = Any()
    private var state = State.IDLE

    /** Calls [onGone] if the connection is closed before [stop]. */
    fun start(onGone: () -> Unit) {
        synchronized(lock) {
            if (endPoint == null || state != State.IDLE) return
            state = State.WATCHING
            // This fails if Jetty itself is already reading. The close is then detected by a failing write.
            if (!endPoint.tryFillInterested(readCallback(onGone))) state = State.STOPPED
        }
    }

    /**
     * Ends the watch. To be called before the last byte of the response, since Jetty reads the next request after that.
     */
    fun stop() {
        synchronized(lock) {
            val isWatching = state == State.WATCHING
            state = State.STOPPED
            if (isWatching) endPoint?.fillInterest?.onFail(CancellationException("the caller watch was stopped"))
        }
    }

    private fun readCallback(onGone: () -> Unit) =
        Callback.from({ if (isClosed(onGone)) connectionClosed(onGone) }, { failure ->
            if (failure !is CancellationException) connectionClosed(onGone)
        })

    /** Reads what the caller has sent, and waits for more if that was nothing. Returns whether the caller closed the connection. */
    private fun isClosed(onGone: () -> Unit): Boolean =
        synchronized(lock) {
            if (state != State.WATCHING) return false
            val buffer = BufferUtil.allocate(READ_BYTES)
            val count =
                try {
                    endPoint!!.fill(buffer)
                } catch (_: IOException) {
                    -1
                }
            // The caller has begun its next request, so it is still connected. The bytes are parsed after this response.
            if (count > 0) (connection as? Connection.UpgradeTo)?.onUpgradeTo(buffer)
            if (count == 0) endPoint!!.tryFillInterested(readCallback(onGone))
            count < 0
        }

    private fun connectionClosed(onGone: () -> Unit) {
        synchronized(lock) {
            if (state != State.WATCHING) return
            state = State.STOPPED
        }
        onGone()
    }

    private companion object {
        /** Enough for the beginning of a next request. Jetty reads the rest of it. */
        const val READ_BYTES = 1024
    }
}
