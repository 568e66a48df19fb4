package sycamore.host

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.InForce
import sycamore.daemon.Members
import sycamore.daemon.Peers
import sycamore.links.TakeOver
import sycamore.links.TakenOver
import sycamore.model.HostName
import sycamore.programs.Rendezvous
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Hands the programs of a home that leaves to a successor. */
internal class HandOver(
    private val members: Members,
    private val peers: Peers,
    private val inForce: InForce,
    private val self: HostName,
) {
    /**
     * Asks one host after another to take over [home]. Its calls go on at their gates, and the successor follows them.
     *
     * Gives up after a while: what is committed or retained is then found by whoever takes over a lost home.
     */
    suspend fun run(home: Home) {
        val log = home.recovery.journal.log
        withTimeoutOrNull(FLUSH_LIMIT) { log.flush() }
        withTimeoutOrNull(LIMIT) {
            while (!log.ended.isCompleted) {
                candidates(home).forEach { host -> if (!log.ended.isCompleted) ask(host, home) }
                if (!log.ended.isCompleted) delay(RETRY)
            }
        }
    }

    private suspend fun ask(
        host: HostName,
        home: Home,
    ) {
        val reply = peers.request(host, TakeOver(home.id, isVoluntary = true), TAKEOVER_LIMIT)
        if (reply is TakenOver) home.end(reply.successor)
    }

    private fun candidates(home: Home): List<HostName> {
        val services =
            inForce.configuration.value
                ?.services
                .orEmpty()
        val hosts = services.flatMap { service -> service.upstreams.map { it.host } }.toSet()
        val present = members.all.filter { !it.leaving && it.name != self }.map { it.name }
        val own = services.firstOrNull { service -> service.upstreams.any { it.host == self } }
        val alike =
            own
                ?.upstreams
                .orEmpty()
                .map { it.host }
                .toSet()
        val ordered = Rendezvous.order(home.id.toString(), present.filter { it in hosts })
        return ordered.sortedBy { it !in alike }
    }

    private companion object {
        val FLUSH_LIMIT: Duration = 2.seconds
        val TAKEOVER_LIMIT: Duration = 8.seconds
        val RETRY: Duration = 1.seconds
        val LIMIT: Duration = 30.seconds
    }
}
