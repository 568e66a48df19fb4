package sycamore.entry

import sycamore.daemon.Directory
import sycamore.daemon.Members
import sycamore.daemon.Peers
import sycamore.links.Declined
import sycamore.links.TakeOver
import sycamore.links.TakenOver
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Service
import sycamore.programs.Rendezvous
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The home that serves the programs of a lost home now, if there is one. */
internal sealed interface Successor {
    /** [home] serves them. */
    data class At(
        val home: HomeId,
    ) : Successor

    /** No home can serve them now, for [reason]. */
    data class Unavailable(
        val reason: String,
        val retryAfter: Duration,
    ) : Successor
}

/** Finds the successors of homes that cannot be reached, by requesting takeovers if necessary. */
internal class TakeoverClient(
    private val members: Members,
    private val peers: Peers,
    private val directory: Directory,
) {
    /**
     * Returns the known successor of [lost], or requests that a host of [service], or else any other, takes [lost]
     * over. All entries choose the same host as long as it responds.
     */
    suspend fun requestTakeover(
        lost: HomeId,
        service: Service?,
    ): Successor {
        val known = directory.lastKnownSuccessor(lost)
        if (known != lost) return Successor.At(known)
        var last = Successor.Unavailable("no host can take over the programs of ${lost.host}", DEFAULT_RETRY_AFTER)
        for (host in candidates(lost, service).take(MAX_REQUESTED_HOSTS)) {
            when (val reply = peers.request(host, TakeOver(lost), TAKEOVER_TIMEOUT)) {
                is TakenOver -> return recordSuccessor(lost, reply.successor)
                is Declined ->
                    last = Successor.Unavailable(reply.reason, reply.retryAfter ?: DEFAULT_RETRY_AFTER)
                else -> Unit
            }
        }
        return last
    }

    private fun recordSuccessor(
        lost: HomeId,
        successor: HomeId,
    ): Successor {
        directory.recordSuccessor(lost, successor)
        return Successor.At(successor)
    }

    private fun candidates(
        lost: HomeId,
        service: Service?,
    ): List<HostName> {
        val present = members.all.filter { !it.leaving && it.name != lost.host }
        val hosts =
            service
                ?.upstreams
                .orEmpty()
                .map { it.host }
                .toSet()
        val nearby = present.filter { it.place == lost.place }.map { it.name }.toSet()
        return Rendezvous
            .order(lost.toString(), present.map { it.name })
            .sortedWith(compareBy({ it !in hosts }, { it !in nearby }))
    }

    private companion object {
        const val MAX_REQUESTED_HOSTS = 2
        val TAKEOVER_TIMEOUT: Duration = 8.seconds
        val DEFAULT_RETRY_AFTER: Duration = 3.seconds
    }
}
