package sycamore.host

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.Members
import sycamore.daemon.Peers
import sycamore.links.FenceHome
import sycamore.links.FencedHomeRecords
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.programs.NumberedRecord
import sycamore.programs.RetainedRecords
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Fences a home that has ended at all daemons, and collects the records that its retainers keep. */
internal class RetainedRecordCollector(
    private val self: HostName,
    private val members: Members,
    private val peers: Peers,
    private val own: RetainedRecords,
) {
    /**
     * Returns the records that retainers keep of the home of [log], or null if too few of the retainers respond in
     * time.
     */
    suspend fun collect(
        log: SealedLog,
        successor: HomeId,
    ): List<NumberedRecord>? {
        val fence = FenceHome(log.home, successor)
        val replies = HashMap<HostName, FencedHomeRecords>()
        fenceAll(fence, replies)
        val isComplete =
            withTimeoutOrNull(COLLECTION_TIMEOUT) {
                while (!log.retainers.all { isReadQuorum(it, replies) }) {
                    delay(RETRY_DELAY)
                    sendFence(missingRetainers(log, replies), fence, replies)
                }
                true
            }
        return if (isComplete == true) replies.values.flatMap { it.records } else null
    }

    /** Sends [fence] to every daemon, since any gate may receive a late call of the lost home. */
    private suspend fun fenceAll(
        fence: FenceHome,
        replies: MutableMap<HostName, FencedHomeRecords>,
    ) {
        val known = own.hasRetained(fence.home)
        replies[self] = FencedHomeRecords(fence.home, own.end(fence.home), known)
        sendFence(members.all.map { it.name }.filter { it != self }, fence, replies)
    }

    private suspend fun sendFence(
        hosts: Collection<HostName>,
        fence: FenceHome,
        replies: MutableMap<HostName, FencedHomeRecords>,
    ) {
        val found =
            coroutineScope {
                hosts.map { host -> async { host to peers.request(host, fence, FENCE_TIMEOUT) } }.awaitAll()
            }
        found.forEach { (host, reply) -> if (reply is FencedHomeRecords) replies[host] = reply }
    }

    private fun missingRetainers(
        log: SealedLog,
        replies: Map<HostName, FencedHomeRecords>,
    ): Set<HostName> = log.retainers.flatten().toSet() - replies.keys

    /**
     * Whether [replies] include every record that is kept by [RecordRetention.MIN_ACKS] of the retainers [named].
     * That is so if all but one of them know the home, or if all that are still listed have replied.
     */
    private fun isReadQuorum(
        named: List<HostName>,
        replies: Map<HostName, FencedHomeRecords>,
    ): Boolean {
        val knowing = named.count { replies[it]?.isKnown == true }
        if (named.size < RecordRetention.MIN_ACKS || knowing > named.size - RecordRetention.MIN_ACKS) return true
        val listed = members.all.map { it.name }.toSet()
        return named.all { it in replies || it !in listed && it != self }
    }

    private companion object {
        /** Limit of one request to a daemon. */
        val FENCE_TIMEOUT: Duration = 1.seconds
        val RETRY_DELAY: Duration = 300.milliseconds

        /** Limit of all retries together. */
        val COLLECTION_TIMEOUT: Duration = 4.seconds
    }
}
