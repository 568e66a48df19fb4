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
 * Replicates the records of a home to other hosts, its retainers, until they are committed, as clients of a file system
 * keep requests until the server has committed them (the replay list of "Lustre File System Recovery").
 *
 * Only hosts that the committed part of the log names are used, so that a successor knows which hosts to request
 * records from. [MIN_ACKS] of [RETAINER_COUNT] retainers have to keep a record, so a successor that reaches all
 * but one of them misses no record.
 */
internal class RecordRetention(
    private val log: HomeLog,
    private val peers: Peers,
) {
    /** The number up to which each retainer has acknowledged the commit of the records that it keeps. */
    private val trimmedUpTo = ConcurrentHashMap<HostName, Long>()

    /** Suspends until enough retainers keep [records]. Never returns if too few retainers are named. */
    suspend fun retain(records: List<NumberedRecord>) {
        val named = log.committedRetainers
        if (named.size < MIN_ACKS) awaitCancellation()
        coroutineScope {
            val acks = Channel<Unit>(named.size)
            val requests = named.map { host -> launch { if (awaitKept(host, records)) acks.send(Unit) } }
            repeat(MIN_ACKS) { acks.receive() }
            requests.forEach { it.cancel() }
        }
    }

    /** Sends [records] to [host], with retries until it keeps them. */
    private suspend fun awaitKept(
        host: HostName,
        records: List<NumberedRecord>,
    ): Boolean {
        while (true) {
            val reply = peers.request(host, RetainRecords(log.home, log.committedNumber.value, records))
            trimmedUpTo[host] = 0
            if (reply is Done) return true
            delay(RETRY_DELAY)
        }
    }

    /**
     * Notifies retainers periodically of the records that are committed, so that they can drop them, until cancelled.
     */
    suspend fun run() {
        while (!log.ended.isCompleted) {
            delay(TRIM_PERIOD)
            val committed = log.committedNumber.value
            val behind = trimmedUpTo.filterValues { it < committed }.keys
            coroutineScope { behind.map { async { trim(it, committed) } }.awaitAll() }
        }
    }

    private suspend fun trim(
        host: HostName,
        committed: Long,
    ) {
        if (peers.request(host, RetainRecords(log.home, committed, emptyList())) is Done) trimmedUpTo[host] = committed
    }

    companion object {
        /** The number of hosts that the log names as retainers. */
        const val RETAINER_COUNT = 3

        /** The minimum number of retainers that have to keep a record before it is durable. */
        const val MIN_ACKS = 2

        private val RETRY_DELAY = 1.seconds

        /** How often retainers are notified of committed records. */
        private val TRIM_PERIOD = 2.seconds
    }
}
