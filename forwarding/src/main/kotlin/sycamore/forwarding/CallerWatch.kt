package sycamore.forwarding

import org.eclipse.jetty.io.AbstractEndPoint
import org.eclipse.jetty.io.Connection
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.Callback
import java.io.IOException
import java.util.concurrent.CancellationException
import java.util.concurrent.atomic.AtomicReference

/**
 * Notices that a caller closes its connection while its request is served.
 *
 * Jetty does not read from a connection between a request's last byte and the end of its answer, so a close would stay
 * unseen until then. Bytes that arrive in that time belong to the caller's next request and are handed back to Jetty.
 */
internal class CallerWatch(
    private val connection: Connection,
) {
    private enum class State { IDLE, WATCHING, STOPPED }

    private val endPoint = connection.endPoint as? AbstractEndPoint
    private val state = AtomicReference(State.IDLE)

    /** Calls [onGone] when the connection ends before [stop]. */
    fun start(onGone: () -> Unit) {
        if (endPoint == null || !state.compareAndSet(State.IDLE, State.WATCHING)) return
        val readable = Callback.from({ check(onGone) }, { failure -> ended(failure, onGone) })
        // Fails when Jetty itself reads already; then the close shows in a failing write.
        if (!endPoint.tryFillInterested(readable)) state.set(State.STOPPED)
    }

    /** Ends the watch. Has to come before the answer's last byte, since Jetty reads the next request after that. */
    fun stop() {
        if (state.getAndSet(State.STOPPED) == State.WATCHING) {
            endPoint?.fillInterest?.onFail(CancellationException("the watch has ended"))
        }
    }

    private fun check(onGone: () -> Unit) {
        if (state.get() != State.WATCHING) return
        val buffer = BufferUtil.allocate(READ_BYTES)
        val count =
            try {
                endPoint!!.fill(buffer)
            } catch (_: IOException) {
                -1
            }
        when {
            count < 0 -> ended(null, onGone)
            count == 0 ->
                if (!endPoint!!.tryFillInterested(
                        Callback.from({ check(onGone) }, { ended(it, onGone) }),
                    )
                ) {
                    return
                }
            // The caller's next request has begun, so it reads on; what came is parsed behind this answer.
            else -> (connection as? Connection.UpgradeTo)?.onUpgradeTo(buffer)
        }
    }

    private fun ended(
        failure: Throwable?,
        onGone: () -> Unit,
    ) {
        if (failure is CancellationException) return
        if (state.compareAndSet(State.WATCHING, State.STOPPED)) onGone()
    }

    private companion object {
        /** The beginning of a next request; Jetty reads the rest of it by itself. */
        const val READ_BYTES = 1024
    }
}
