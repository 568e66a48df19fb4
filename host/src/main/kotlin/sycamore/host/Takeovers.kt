package sycamore.host

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.delay
import sycamore.daemon.Background
import sycamore.daemon.Directory
import sycamore.daemon.Peers
import sycamore.daemon.log.LogContext
import sycamore.links.Declined
import sycamore.links.DiscardRetainedRecords
import sycamore.links.Message
import sycamore.links.TakeOver
import sycamore.links.TakenOver
import sycamore.model.Epoch
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.programs.HomeRecord
import sycamore.programs.LogMerge
import sycamore.programs.NumberedRecord
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/** Takes over the programs of homes that have been lost or are leaving. */
internal class Takeovers(
    private val self: HostName,
    private val keys: KeyValue,
    private val peers: Peers,
    private val directory: Directory,
    private val recordCollector: RetainedRecordCollector,
    private val background: Background,
    private val currentHome: () -> Home,
) {
    private val logSealer = LogSealer(keys)

    /** The results of the takeovers in progress, by lost home. */
    private val inProgress = ConcurrentHashMap<HomeId, Deferred<Message>>()

    /** Pairs of a lost home and the home of this host that has adopted its programs. */
    private val finished = ConcurrentHashMap.newKeySet<Pair<HomeId, HomeId>>()

    /** Takes over the home that [request] names, unless it is still serving or another home has taken it over. */
    suspend fun takeOver(request: TakeOver): Message {
        val lost = request.home
        val result = CompletableDeferred<Message>()
        val other = inProgress.putIfAbsent(lost, result)
        if (other != null) return other.await()
        background.launch("taking over $lost") {
            try {
                val reply = attemptTakeover(request)
                if (reply is Declined) log.info { "${currentHome().id} did not take over $lost: ${reply.reason}" }
                result.complete(reply)
            } finally {
                inProgress.remove(lost)
                result.complete(Declined("the takeover of $lost failed", RETRY_DELAY))
            }
        }
        return result.await()
    }

    /** Whether the present home of this host has adopted the programs of [lost]. */
    fun isFinished(lost: HomeId): Boolean = (lost to currentHome().id) in finished

    private suspend fun attemptTakeover(request: TakeOver): Message {
        val lost = request.home
        val successor = currentHome()
        if (lost == successor.id) return Declined("$lost is alive")
        if (isFinished(lost)) return TakenOver(lost, successor.id)
        if (!request.isVoluntary && isServing(lost)) return Declined("$lost is alive", RETRY_DELAY)
        if (hasEnded(successor)) return Declined("${successor.id} has been taken over itself", RETRY_DELAY)
        val winner = claim(lost, successor) ?: return Declined("the key-value service does not answer", RETRY_DELAY)
        if (winner != successor.id) return TakenOver(lost, winner)
        return recover(lost, successor).also { if (it is Declined) retryLater(request) }
    }

    /** Retries until the programs are adopted, since a home that has been claimed gets no other successor. */
    private fun retryLater(request: TakeOver) {
        background.launch("finishing the takeover of ${request.home}") {
            delay(FINISH_RETRY_DELAY)
            takeOver(request.copy(isVoluntary = true))
        }
    }

    private suspend fun isServing(lost: HomeId): Boolean = lost.host != self && peers.status(lost.host)?.home == lost

    /**
     * Makes [successor] the successor of [lost] unless it has one. Returns the home that serves the programs of [lost]
     * from now on, or null if that cannot be determined now.
     */
    private suspend fun claim(
        lost: HomeId,
        successor: Home,
    ): HomeId? {
        val key = HomeRecord.key(lost)
        val epoch = successor.components.journal.log.epoch
        val record = HomeRecord(successor.id, epoch.next())
        return when (val write = keys.put(key, record.encode(), Revision.ABSENT, HOME_RECORD_LEASE)) {
            is WriteResult.Applied -> successor.id
            is WriteResult.Conflict -> write.current?.let { claimFromCycle(lost, it, record) }
            is WriteResult.NotSent -> null
            is WriteResult.OutcomeUnknown ->
                (keys.get(key) as? ReadResult.Found)?.value?.value?.let { HomeRecord.decode(it).successor }
        }
    }

    /** Claims [lost] again if it is part of a cycle of homes that have taken over each other. */
    private suspend fun claimFromCycle(
        lost: HomeId,
        current: Item,
        record: HomeRecord,
    ): HomeId? {
        val winner = HomeRecord.decode(current.value ?: return null).successor
        if (winner == record.successor || directory.fetchLastSuccessor(lost) != lost) return winner
        val write = keys.put(current.key, record.encode(), current.version, HOME_RECORD_LEASE)
        return if (write is WriteResult.Applied) record.successor else null
    }

    /** Whether [own] has been taken over. Ends [own] in that case, since it may not have been notified. */
    private suspend fun hasEnded(own: Home): Boolean {
        val read = keys.get(HomeRecord.key(own.id)) as? ReadResult.Found ?: return false
        val record = read.value?.value?.let(HomeRecord::decode) ?: return false
        own.markEnded(record.successor)
        return true
    }

    private suspend fun recover(
        lost: HomeId,
        successor: Home,
    ): Message {
        val logs = sealAll(lost, successor.id) ?: return Declined("the log of $lost cannot be read now", RETRY_DELAY)
        val retained = ArrayList<NumberedRecord>()
        for (sealed in logs) {
            retained +=
                recordCollector.collect(sealed, successor.id)
                    ?: return Declined("retainers cannot be asked now", RETRY_DELAY)
        }
        import(logs, retained, successor)
        directory.recordSuccessor(lost, successor.id)
        finished += lost to successor.id
        background.launch("deleting the log of $lost") { deleteMerged(logs, successor) }
        return TakenOver(lost, successor.id)
    }

    /**
     * Seals the log of [lost] and the logs of the homes that [lost] itself had claimed and not copied into its own log
     * yet.
     */
    private suspend fun sealAll(
        lost: HomeId,
        successor: HomeId,
    ): List<SealedLog>? {
        val logs = ArrayList<SealedLog>()
        val unvisited = ArrayDeque(listOf(lost))
        val records = endedHomes() ?: return null
        val seen = HashSet<HomeId>()
        while (unvisited.isNotEmpty()) {
            val next = unvisited.removeFirst()
            if (!seen.add(next)) continue
            val sealed = logSealer.seal(next, successor) ?: return null
            if (next == lost || sealed.hasOwnSegments) logs += sealed
            unvisited += records.filterValues { it.successor == next }.keys
        }
        return logs
    }

    private suspend fun endedHomes(): Map<HomeId, HomeRecord>? {
        val read = keys.list(HomeRecord.PREFIX) as? ReadResult.Found ?: return null
        return read.value
            .mapNotNull { item ->
                val home = HomeRecord.parseKey(item.key)
                val value = item.value
                if (home == null || value == null) null else home to HomeRecord.decode(value)
            }.toMap()
    }

    private fun import(
        logs: List<SealedLog>,
        retained: List<NumberedRecord>,
        successor: Home,
    ) {
        val journal = successor.components.journal
        val records = logs.flatMap { it.records } + retained
        val epoch = (logs.map { it.epoch } + records.map { it.epoch }).maxOrNull() ?: Epoch.FIRST
        journal.log.raiseEpoch(epoch)
        LogContext.setEpoch(journal.log.epoch)
        val merged = LogMerge.merge(records)
        val gaps = merged.sumOf { it.dropped.size }
        successor.adopt(merged)
        val lost = logs.first().home
        log.info { "${successor.id} took over ${merged.size} programs of $lost, $gaps records after gaps were dropped" }
    }

    /**
     * Deletes [logs], and the records that retainers keep of these homes, once [successor] has committed the programs.
     */
    private suspend fun deleteMerged(
        logs: List<SealedLog>,
        successor: Home,
    ) {
        val journal = successor.components.journal
        journal.log.flush()
        logs.forEach { sealed ->
            logSealer.deleteSegments(sealed)
            sealed.retainers
                .flatten()
                .toSet()
                .forEach { peers.request(it, DiscardRetainedRecords(sealed.home)) }
        }
    }

    private companion object {
        val RETRY_DELAY: Duration = 1.seconds

        /** Delay before a takeover that could not be finished is attempted again. */
        val FINISH_RETRY_DELAY: Duration = 5.seconds

        /** How long the record of an ended home lasts. */
        val HOME_RECORD_LEASE: Duration = 35.days
    }
}
