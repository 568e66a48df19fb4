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

/** Who serves the programs of a lost home. */
internal sealed interface Recovered {
    /** [home] does. */
    data class At(
        val home: HomeId,
    ) : Recovered

    /** Nobody can do so now. */
    data class NotNow(
        val reason: String,
        val retryAfter: Duration,
    ) : Recovered
}

/** Has homes that cannot be reached taken over. */
internal class LostHomes(
    private val members: Members,
    private val peers: Peers,
    private val directory: Directory,
) {
    /** Asks a host of [service], or any other, to take over [lost]. All who ask pick the same host while it answers. */
    suspend fun successor(
        lost: HomeId,
        service: Service?,
    ): Recovered {
        val known = directory.lastKnownSuccessor(lost)
        if (known != lost) return Recovered.At(known)
        var last = Recovered.NotNow("no host can take over the programs of ${lost.host}", LATER)
        for (host in candidates(lost, service).take(MAX_ASKED)) {
            when (val reply = peers.request(host, TakeOver(lost), TAKEOVER_LIMIT)) {
                is TakenOver -> return found(lost, reply.successor)
                is Declined -> last = Recovered.NotNow(reply.reason, reply.retryAfter ?: LATER)
                else -> Unit
            }
        }
        return last
    }

    private fun found(
        lost: HomeId,
        successor: HomeId,
    ): Recovered {
        directory.recordSuccessor(lost, successor)
        return Recovered.At(successor)
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
        const val MAX_ASKED = 2
        val TAKEOVER_LIMIT: Duration = 8.seconds
        val LATER: Duration = 3.seconds
    }
}
