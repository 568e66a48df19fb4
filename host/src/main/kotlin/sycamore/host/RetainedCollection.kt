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

/** Tells all daemons that a home has ended, and collects what its retainers keep. */
internal class RetainedCollection(
    private val self: HostName,
    private val members: Members,
    private val peers: Peers,
    private val own: RetainedRecords,
) {
    /** The records that retainers keep of the home of [log]; null when one that may keep some cannot be asked yet. */
    suspend fun collect(
        log: LostLog,
        successor: HomeId,
    ): List<NumberedRecord>? {
        val fence = FenceHome(log.home, successor)
        val replies = HashMap<HostName, FencedHomeRecords>()
        tellAll(fence, replies)
        val isComplete =
            withTimeoutOrNull(LIMIT) {
                while (!log.retainers.all { isEnough(it, replies) }) {
                    delay(RETRY)
                    ask(missing(log, replies), fence, replies)
                }
                true
            }
        return if (isComplete == true) replies.values.flatMap { it.records } else null
    }

    /** Every daemon learns of the fence, since any gate may get a late call of the lost home. */
    private suspend fun tellAll(
        fence: FenceHome,
        replies: MutableMap<HostName, FencedHomeRecords>,
    ) {
        val known = own.hasRetained(fence.home)
        replies[self] = FencedHomeRecords(fence.home, own.end(fence.home), known)
        ask(members.all.map { it.name }.filter { it != self }, fence, replies)
    }

    private suspend fun ask(
        hosts: Collection<HostName>,
        fence: FenceHome,
        replies: MutableMap<HostName, FencedHomeRecords>,
    ) {
        val found =
            coroutineScope {
                hosts.map { host -> async { host to peers.request(host, fence, ASK_LIMIT) } }.awaitAll()
            }
        found.forEach { (host, reply) -> if (reply is FencedHomeRecords) replies[host] = reply }
    }

    private fun missing(
        log: LostLog,
        replies: Map<HostName, FencedHomeRecords>,
    ): Set<HostName> = log.retainers.flatten().toSet() - replies.keys

    /**
     * Whether no record that enough of [named] keep can be missed: all but one of them remember the home, or all that
     * are still there were asked.
     */
    private fun isEnough(
        named: List<HostName>,
        replies: Map<HostName, FencedHomeRecords>,
    ): Boolean {
        val remembering = named.count { replies[it]?.isKnown == true }
        if (named.size < Retention.ACKS || remembering > named.size - Retention.ACKS) return true
        val listed = members.all.map { it.name }.toSet()
        return named.all { it in replies || it !in listed && it != self }
    }

    private companion object {
        val ASK_LIMIT: Duration = 1.seconds
        val RETRY: Duration = 300.milliseconds
        val LIMIT: Duration = 4.seconds
    }
}
