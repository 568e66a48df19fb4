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

/** Hands the programs of a home that is leaving over to a successor. */
internal class HandOver(
    private val members: Members,
    private val peers: Peers,
    private val inForce: InForce,
    private val self: HostName,
) {
    /**
     * Requests one host after another to take over [home]. The calls of [home] continue at their gates, and the
     * successor receives their answers.
     *
     * Gives up after [HANDOVER_TIMEOUT]. A host that takes over the lost home later finds the records that are
     * committed or retained.
     */
    suspend fun run(home: Home) {
        val log = home.components.journal.log
        withTimeoutOrNull(FLUSH_TIMEOUT) { log.flush() }
        withTimeoutOrNull(HANDOVER_TIMEOUT) {
            while (!log.ended.isCompleted) {
                candidates(home).forEach { host -> if (!log.ended.isCompleted) requestTakeover(host, home) }
                if (!log.ended.isCompleted) delay(RETRY_DELAY)
            }
        }
    }

    /** Requests [host] to take over [home], and ends [home] if it did or if another host had done so. */
    private suspend fun requestTakeover(
        host: HostName,
        home: Home,
    ) {
        val reply = peers.request(host, TakeOver(home.id, isVoluntary = true), TAKEOVER_TIMEOUT)
        if (reply is TakenOver) home.markEnded(reply.successor)
    }

    /** Returns the present hosts with an upstream, those of the same service as this host first. */
    private fun candidates(home: Home): List<HostName> {
        val services =
            inForce.configuration.value
                ?.services
                .orEmpty()
        val upstreamHosts = services.flatMap { service -> service.upstreams.map { it.host } }.toSet()
        val present = members.all.filter { !it.leaving && it.name != self }.map { it.name }
        val ownService = services.firstOrNull { service -> service.upstreams.any { it.host == self } }
        val sameService =
            ownService
                ?.upstreams
                .orEmpty()
                .map { it.host }
                .toSet()
        val ordered = Rendezvous.order(home.id.toString(), present.filter { it in upstreamHosts })
        return ordered.sortedBy { it !in sameService }
    }

    private companion object {
        val FLUSH_TIMEOUT: Duration = 2.seconds

        /** Limit of one request to a host. */
        val TAKEOVER_TIMEOUT: Duration = 8.seconds
        val RETRY_DELAY: Duration = 1.seconds

        /** Limit of all requests together. */
        val HANDOVER_TIMEOUT: Duration = 30.seconds
    }
}
