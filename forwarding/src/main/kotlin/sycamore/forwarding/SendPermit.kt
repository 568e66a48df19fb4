package sycamore.forwarding

import java.util.concurrent.atomic.AtomicReference

/**
 * The permission to send one request. Either it is used, or it is withdrawn first and the request is never sent.
 *
 * A client that does not manage the permit counts as having sent its request.
 */
class SendPermit {
    private enum class State { UNMANAGED, OPEN, USED, WITHDRAWN }

    private val state = AtomicReference(State.UNMANAGED)

    /** Declares that the client sends the request only if [use] returns true. */
    internal fun manage() {
        state.compareAndSet(State.UNMANAGED, State.OPEN)
    }

    /** Uses the permit. Returns whether the request may be sent. */
    internal fun use(): Boolean = state.compareAndSet(State.OPEN, State.USED) || state.get() == State.USED

    /** Withdraws the permit. Returns whether the request has not been sent and will not be. */
    fun withdraw(): Boolean = state.compareAndSet(State.OPEN, State.WITHDRAWN) || state.get() == State.WITHDRAWN
}
