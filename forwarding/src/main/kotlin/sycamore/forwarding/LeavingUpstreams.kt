package sycamore.forwarding

import sycamore.routing.ListedUpstream
import sycamore.routing.UpstreamId
import java.util.concurrent.ConcurrentHashMap

/**
 * The upstreams that announced in a response that they are leaving, that is, about to stop.
 *
 * A response announces this earlier than the list of upstreams does, and also while that list cannot be watched. An
 * upstream that restarts under the same id counts as a different one.
 */
class LeavingUpstreams {
    private data class UpstreamStart(
        val id: UpstreamId,
        val bornMillis: Long?,
    )

    private val starts = ConcurrentHashMap.newKeySet<UpstreamStart>()

    /** Marks [upstream] as leaving. Returns false if it was marked before. */
    fun add(upstream: ListedUpstream): Boolean = starts.add(startOf(upstream))

    /** Whether [upstream] is leaving. */
    operator fun contains(upstream: ListedUpstream): Boolean = startOf(upstream) in starts

    private fun startOf(upstream: ListedUpstream) = UpstreamStart(upstream.id, upstream.bornMillis)
}
