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

/** Takes over programs of homes that are lost or leave. */
internal class Takeovers(
    private val self: HostName,
    private val keys: KeyValue,
    private val peers: Peers,
    private val directory: Directory,
    private val collection: RetainedCollection,
    private val background: Background,
    private val home: () -> Home,
) {
    private val seals = LogSeals(keys)
    private val running = ConcurrentHashMap<HomeId, Deferred<Message>>()
    private val finished = ConcurrentHashMap.newKeySet<Pair<HomeId, HomeId>>()

    /** Takes over the home that [order] names, unless it is alive or another host has done so. */
    suspend fun takeOver(order: TakeOver): Message {
        val lost = order.home
        val result = CompletableDeferred<Message>()
        val other = running.putIfAbsent(lost, result)
        if (other != null) return other.await()
        background.launch("taking over $lost") {
            try {
                val reply = attempt(order)
                if (reply is Declined) log.info { "${home().id} did not take over $lost: ${reply.reason}" }
                result.complete(reply)
            } finally {
                running.remove(lost)
                result.complete(Declined("the takeover of $lost failed", RETRY))
            }
        }
        return result.await()
    }

    /** Whether the programs of [lost] are here. */
    fun isFinished(lost: HomeId): Boolean = (lost to home().id) in finished

    private suspend fun attempt(order: TakeOver): Message {
        val lost = order.home
        val successor = home()
        if (lost == successor.id) return Declined("$lost is alive")
        if (isFinished(lost)) return TakenOver(lost, successor.id)
        if (!order.isVoluntary && isAlive(lost)) return Declined("$lost is alive", RETRY)
        if (hasEnded(successor)) return Declined("${successor.id} has ended itself", RETRY)
        val winner = claim(lost, successor) ?: return Declined("the key-value service does not answer", RETRY)
        if (winner != successor.id) return TakenOver(lost, winner)
        return recover(lost, successor).also { if (it is Declined) finishLater(order) }
    }

    /** A home that was claimed gets no other successor, so its claimant goes on until the programs are here. */
    private fun finishLater(order: TakeOver) {
        background.launch("finishing the takeover of ${order.home}") {
            delay(FINISH_PAUSE)
            takeOver(order.copy(isVoluntary = true))
        }
    }

    private suspend fun isAlive(lost: HomeId): Boolean = lost.host != self && peers.status(lost.host)?.home == lost

    /** The home that serves the programs of [lost] from now on; null when that cannot be told now. */
    private suspend fun claim(
        lost: HomeId,
        successor: Home,
    ): HomeId? {
        val key = HomeRecord.key(lost)
        val record =
            HomeRecord(
                successor.id,
                successor.recovery.journal.log.epoch
                    .next(),
            )
        return when (val write = keys.put(key, record.encode(), Revision.ABSENT, RECORD_LEASE)) {
            is WriteResult.Applied -> successor.id
            is WriteResult.Conflict -> write.current?.let { claimCircle(lost, it, record) }
            is WriteResult.NotSent -> null
            is WriteResult.OutcomeUnknown ->
                (keys.get(key) as? ReadResult.Found)?.value?.value?.let {
                    HomeRecord.decode(it).successor
                }
        }
    }

    /** Claims [lost] again if it stands in a circle of homes that took over each other. */
    private suspend fun claimCircle(
        lost: HomeId,
        current: Item,
        record: HomeRecord,
    ): HomeId? {
        val winner = HomeRecord.decode(current.value ?: return null).successor
        if (winner == record.successor || directory.fetchLastSuccessor(lost) != lost) return winner
        val write = keys.put(current.key, record.encode(), current.version, RECORD_LEASE)
        return if (write is WriteResult.Applied) record.successor else null
    }

    /** Whether [own] was taken over without knowing it yet. */
    private suspend fun hasEnded(own: Home): Boolean {
        val read = keys.get(HomeRecord.key(own.id)) as? ReadResult.Found ?: return false
        val record = read.value?.value?.let(HomeRecord::decode) ?: return false
        own.end(record.successor)
        return true
    }

    private suspend fun recover(
        lost: HomeId,
        successor: Home,
    ): Message {
        val logs = sealAll(lost, successor.id) ?: return Declined("the log of $lost cannot be read now", RETRY)
        val retained = ArrayList<NumberedRecord>()
        for (one in logs) {
            retained += collection.collect(one, successor.id) ?: return Declined("retainers cannot be asked now", RETRY)
        }
        import(logs, retained, successor)
        directory.recordSuccessor(lost, successor.id)
        finished += lost to successor.id
        background.launch("freeing the log of $lost") { free(logs, successor) }
        return TakenOver(lost, successor.id)
    }

    /** Seals the log of [lost] and those that [lost] itself had taken over and not copied yet. */
    private suspend fun sealAll(
        lost: HomeId,
        successor: HomeId,
    ): List<LostLog>? {
        val logs = ArrayList<LostLog>()
        val open = ArrayDeque(listOf(lost))
        val records = endedHomes() ?: return null
        val seen = HashSet<HomeId>()
        while (open.isNotEmpty()) {
            val next = open.removeFirst()
            if (!seen.add(next)) continue
            val sealed = seals.seal(next, successor) ?: return null
            if (next == lost || sealed.isFull) logs += sealed
            open += records.filterValues { it.successor == next }.keys
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
        logs: List<LostLog>,
        retained: List<NumberedRecord>,
        successor: Home,
    ) {
        val journal = successor.recovery.journal
        val records = logs.flatMap { it.records } + retained
        val epoch = (logs.map { it.epoch } + records.map { it.epoch }).maxOrNull() ?: Epoch.FIRST
        journal.log.raise(epoch)
        LogContext.setEpoch(journal.log.epoch)
        val merged = LogMerge.merge(records)
        val gaps = merged.sumOf { it.dropped.size }
        successor.adopt(merged)
        val lost = logs.first().home
        log.info { "${successor.id} took over ${merged.size} programs of $lost, $gaps records after gaps were dropped" }
    }

    /** Once the programs are committed in the log of [successor], what is left of the lost home is dropped. */
    private suspend fun free(
        logs: List<LostLog>,
        successor: Home,
    ) {
        successor.recovery.journal.log
            .flush()
        logs.forEach { one ->
            seals.free(one)
            one.retainers
                .flatten()
                .toSet()
                .forEach { peers.request(it, DiscardRetainedRecords(one.home)) }
        }
    }

    private companion object {
        val RETRY: Duration = 1.seconds
        val FINISH_PAUSE: Duration = 5.seconds
        val RECORD_LEASE: Duration = 35.days
    }
}
