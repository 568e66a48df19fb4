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

    /** Marks those of [connections] that have no open request as closed, and returns them. */
    @Synchronized
    fun closeIdle(connections: Collection<T>): List<T> = connections.filter { it !in open }.also { closed += it }
}
