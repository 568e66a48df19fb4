package sycamore.forwarding

import sycamore.routing.ListedUpstream
import sycamore.routing.UpstreamId
import java.util.concurrent.ConcurrentHashMap

/**
 * Upstreams that said in an answer that they leave.
 *
 * This is known before the list of upstreams tells it, and also while that list cannot be followed. An upstream that starts
 * again under its id is another one.
 */
class LeavingUpstreams {
    private data class Start(
        val id: UpstreamId,
        val bornMillis: Long?,
    )

    private val starts = ConcurrentHashMap.newKeySet<Start>()

    /** [upstream] leaves; false if that was known. */
    fun add(upstream: ListedUpstream): Boolean = starts.add(startOf(upstream))

    /** Whether [upstream] leaves. */
    operator fun contains(upstream: ListedUpstream): Boolean = startOf(upstream) in starts

    private fun startOf(upstream: ListedUpstream) = Start(upstream.id, upstream.bornMillis)
}
