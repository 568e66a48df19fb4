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

/** The result of finding the home that serves the programs of a lost home. */
internal sealed interface TakeoverResult {
    /** [home] serves them. */
    data class ServedBy(
        val home: HomeId,
    ) : TakeoverResult

    /** No home can serve them now, for [reason]. */
    data class Unavailable(
        val reason: String,
        val retryAfter: Duration,
    ) : TakeoverResult
}

/** Requests that other hosts take over homes that cannot be reached. */
internal class TakeoverClient(
    private val members: Members,
    private val peers: Peers,
    private val directory: Directory,
) {
    /**
     * Requests that a host of [service], or else any other, takes over [lost]. All entries choose the same host as
     * long as it responds.
     */
    suspend fun successor(
        lost: HomeId,
        service: Service?,
    ): TakeoverResult {
        val known = directory.known(lost)
        if (known != lost) return TakeoverResult.ServedBy(known)
        var last = TakeoverResult.Unavailable("no host can take over the programs of ${lost.host}", DEFAULT_RETRY_AFTER)
        for (host in candidates(lost, service).take(MAX_REQUESTED_HOSTS)) {
            when (val reply = peers.ask(host, TakeOver(lost), TAKEOVER_TIMEOUT)) {
                is TakenOver -> return recordSuccessor(lost, reply.successor)
                is Declined ->
                    last = TakeoverResult.Unavailable(reply.reason, reply.retryAfter ?: DEFAULT_RETRY_AFTER)
                else -> Unit
            }
        }
        return last
    }

    private fun recordSuccessor(
        lost: HomeId,
        successor: HomeId,
    ): TakeoverResult {
        directory.learn(lost, successor)
        return TakeoverResult.ServedBy(successor)
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
