package sycamore.host

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import sycamore.daemon.Peers
import sycamore.links.Done
import sycamore.links.RetainRecords
import sycamore.model.HostName
import sycamore.programs.NumberedRecord
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/**
 * Has records of a home kept by other hosts until they are committed, as clients of a file system keep requests until
 * the server has committed them (the replay list of "Lustre File System Recovery").
 *
 * Only hosts that the committed part of the log names are used, so that a successor knows whom to ask. [ACKS] of
 * [NAMED] have to keep a record; a successor that reaches all but one of them misses none.
 */
internal class Retention(
    private val log: HomeLog,
    private val peers: Peers,
) {
    private val trimmed = ConcurrentHashMap<HostName, Long>()

    /** Returns once enough hosts keep [records]; never when there are too few of them. */
    suspend fun retain(records: List<NumberedRecord>) {
        val named = log.committedRetainers
        if (named.size < ACKS) awaitCancellation()
        coroutineScope {
            val acks = Channel<Unit>(named.size)
            val asking = named.map { host -> launch { if (isKept(host, records)) acks.send(Unit) } }
            repeat(ACKS) { acks.receive() }
            asking.forEach { it.cancel() }
        }
    }

    private suspend fun isKept(
        host: HostName,
        records: List<NumberedRecord>,
    ): Boolean {
        while (true) {
            val reply = peers.request(host, RetainRecords(log.home, log.committed.value, records))
            trimmed[host] = 0
            if (reply is Done) return true
            delay(RETRY)
        }
    }

    /** Tells retainers from time to time what they need not keep any more, until cancelled. */
    suspend fun run() {
        while (!log.ended.isCompleted) {
            delay(TRIM_PERIOD)
            val committed = log.committed.value
            val behind = trimmed.filterValues { it < committed }.keys
            coroutineScope { behind.map { async { trim(it, committed) } }.awaitAll() }
        }
    }

    private suspend fun trim(
        host: HostName,
        committed: Long,
    ) {
        if (peers.request(host, RetainRecords(log.home, committed, emptyList())) is Done) trimmed[host] = committed
    }

    companion object {
        /** Hosts that the log names as retainers. */
        const val NAMED = 3

        /** Hosts that have to keep a record before it counts as safe. */
        const val ACKS = 2

        private val RETRY = 1.seconds
        private val TRIM_PERIOD = 2.seconds
    }
}
