package sycamore.forwarding

import sycamore.routing.ListedUpstream
import sycamore.routing.UpstreamId
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Clock
import kotlin.time.Instant

/**
 * The upstreams that announced in a response that they are leaving, that is, about to stop.
 *
 * A response announces this earlier than the list of upstreams does, and also while that list cannot be watched. An
 * upstream that restarts under the same id after that counts as a different one. The list may show the start that made
 * the announcement only later, or without its time, so all starts before the announcement count as leaving.
 */
class LeavingUpstreams(
    private val clock: Clock = Clock.System,
) {
    private val announcements = ConcurrentHashMap<UpstreamId, Instant>()

    /** Marks [upstream] as leaving. Returns false if it was marked before. */
    fun add(upstream: ListedUpstream): Boolean {
        if (upstream in this) return false
        // The clock of this host may be behind that of the upstream's host.
        val announcedAt = listOfNotNull(clock.now(), startOf(upstream)).max()
        announcements.merge(upstream.id, announcedAt, ::maxOf)
        return true
    }

    /** Whether [upstream] is leaving. */
    operator fun contains(upstream: ListedUpstream): Boolean {
        val announcedAt = announcements[upstream.id] ?: return false
        val start = startOf(upstream)
        return start == null || start <= announcedAt
    }

    private fun startOf(upstream: ListedUpstream): Instant? = upstream.bornMillis?.let(Instant::fromEpochMilliseconds)
}
