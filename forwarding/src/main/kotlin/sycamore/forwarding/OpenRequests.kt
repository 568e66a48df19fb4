package sycamore.forwarding

/**
 * Counts the open requests of each connection, so that a connection is closed only between two requests.
 *
 * A request may arrive on an idle connection at the moment it is closed. Such a request must not be served, since its
 * caller could not receive the response.
 */
internal class OpenRequests<T : Any> {
    private val open = HashMap<T, Int>()
    private val closed = HashSet<T>()

    /** Records the start of a request on [connection]. Returns false if the connection is already closed. */
    @Synchronized
    fun begin(connection: T): Boolean {
        if (connection in closed) return false
        open.merge(connection, 1, Int::plus)
        return true
    }

    /** Records the end of a request on [connection]. */
    @Synchronized
    fun end(connection: T) {
        open.computeIfPresent(connection) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /**
     * Closes those of [connections] that have no open request, by calling [close]. A request that arrives meanwhile begins either
     * before, so that its connection stays open, or after the connection was closed, so that nothing is sent to its caller.
     */
    @Synchronized
    fun closeIdle(
        connections: Collection<T>,
        close: (T) -> Unit,
    ) = connections.filter { it !in open }.forEach {
        closed += it
        close(it)
    }
}
