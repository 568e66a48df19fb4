package sycamore.forwarding

/**
 * Counts the requests that each connection has open, so that a connection is closed only between two requests.
 *
 * A connection that was idle may get a request at the moment it is closed. That request must not be served, since its caller
 * could not get the answer.
 */
internal class OpenRequests<T : Any> {
    private val open = HashMap<T, Int>()
    private val closed = HashSet<T>()

    /** A request has come on [connection]; false if that is closed already. */
    @Synchronized
    fun begin(connection: T): Boolean {
        if (connection in closed) return false
        open.merge(connection, 1, Int::plus)
        return true
    }

    /** A request on [connection] has ended. */
    @Synchronized
    fun end(connection: T) {
        open.computeIfPresent(connection) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /** Marks those of [connections] that have no request as closed, and returns them. */
    @Synchronized
    fun closeIdle(connections: Collection<T>): List<T> = connections.filter { it !in open }.also { closed += it }
}
